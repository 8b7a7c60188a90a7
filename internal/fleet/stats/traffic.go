package stats

// Traffic is the traffic at a stand-in: new connections, calls, and bytes of TCP payload in each direction.
// BytesOfLists counts the bytes of lists in it, without the HTTP headers.
type Traffic struct {
	Conns         int64 `json:"conns"`
	Calls         int64 `json:"calls"`
	ReceivedBytes int64 `json:"bytes_in"`
	SentBytes     int64 `json:"bytes_out"`
	BytesOfLists  int64 `json:"bytes_of_lists"`
}

func (t *Traffic) add(u Traffic) {
	t.Conns += u.Conns
	t.Calls += u.Calls
	t.ReceivedBytes += u.ReceivedBytes
	t.SentBytes += u.SentBytes
	t.BytesOfLists += u.BytesOfLists
}
