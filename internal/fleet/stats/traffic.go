package stats

// Traffic is the traffic at a stand-in: new connections, calls, and bytes of TCP payload in each direction. ListBytes
// counts the bytes of lists in it, without the HTTP headers.
type Traffic struct {
	Conns     int64 `json:"conns"`
	Calls     int64 `json:"calls"`
	BytesIn   int64 `json:"bytes_in"`
	BytesOut  int64 `json:"bytes_out"`
	ListBytes int64 `json:"bytes_of_lists"`
}

func (t *Traffic) add(u Traffic) {
	t.Conns += u.Conns
	t.Calls += u.Calls
	t.BytesIn += u.BytesIn
	t.BytesOut += u.BytesOut
	t.ListBytes += u.ListBytes
}
