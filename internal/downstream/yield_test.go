package downstream

import (
	"io"
	"net/http"
	"testing"
)

// Only a request that net/http has not waited for counts as sent ahead. A client that sends one request at a time never
// waits for others because of it.
func TestPipelinedRequestsAreRecognized(t *testing.T) {
	const request = "GET /a HTTP/1.1\r\n\r\n"
	conn, client := connPair(t, newTestConns(testLimits(10), 0), 0)
	read := func(n int) {
		t.Helper()
		if !readFull(conn, make([]byte, n)) {
			t.Fatal("the request could not be read")
		}
	}
	for _, step := range []struct {
		name   string
		pieces []string
		want   []bool // whether each request of the pieces was sent ahead
	}{
		{"the first request", []string{request}, []bool{false}},
		{"a request after its response", []string{request}, []bool{false}},
		{"a request in pieces", []string{request[:1], request[1:9], request[9:]}, []bool{false}},
		{"three at once", []string{request + request + request}, []bool{false, true, true}},
		{"the next one alone", []string{request}, []bool{false}},
		{"a part of the next one", []string{request + request[:5], request[5:]}, []bool{false, true}},
	} {
		for _, piece := range step.pieces {
			io.WriteString(client, piece)
			read(len(piece))
		}
		for i, want := range step.want {
			_, err := conn.TakeHead(&http.Request{Method: http.MethodGet, RequestURI: "/a", Proto: "HTTP/1.1"})
			if err != nil {
				t.Fatal(err)
			}
			if got := conn.takePipelined(); got != want {
				t.Errorf("%s, request %d: sent ahead: %v, want %v", step.name, i+1, got, want)
			}
		}
	}
}
