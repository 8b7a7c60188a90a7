package stats

// Traffic is the traffic at a stand-in: new connections, calls, and bytes of TCP payload each way. Lists are the bytes
// of the lists in it, without the headers of HTTP.
type Traffic struct {
	Conns int64 `json:"conns"`
	Calls int64 `json:"calls"`
	In    int64 `json:"bytes_in"`
	Out   int64 `json:"bytes_out"`
	Lists int64 `json:"bytes_of_lists"`
}

func (t *Traffic) add(u Traffic) {
	t.Conns += u.Conns
	t.Calls += u.Calls
	t.In += u.In
	t.Out += u.Out
	t.Lists += u.Lists
}
