package discovery

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/testutil"
)

// largestFleet is the number of servers of the longest list that a node must be able to hold.
const largestFleet = 3200

// Lists of the largest fleet are accepted, indented or not. Longer ones than maxListBytes are rejected.
func TestListsOfTheLargestFleetFit(t *testing.T) {
	compact, single := testutil.LongList(largestFleet, "", false), testutil.LongList(1, "", false)
	for _, row := range []struct {
		name, text string
		want       int // entries; 0: the list is rejected
	}{
		{"compact", compact, largestFleet},
		{"indented", testutil.LongList(largestFleet, "", true), largestFleet},
		{"of the maximum size", strings.Repeat(" ", maxListBytes-len(compact)) + compact, largestFleet},
		{"one byte too long", single + strings.Repeat(" ", maxListBytes+1-len(single)), 0},
		{"endless", testutil.LongList(largestFleet, strings.Repeat("x", 2000), false), 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			agent := testutil.NewRegistryAgent(t)
			agent.Set(false, row.text)
			c, reports := newClient(t, Config{Address: agent.Addr().String(), Version: NoVersion})
			c.Grace = testutil.Timeout // for a machine that is busy with other tests
			_, err := c.poll(t.Context(), c.currentAddress(), false)
			entries := 0
			if len(reports) > 0 {
				entries = len((<-reports).list.Entries)
			}
			if (err == nil) != (row.want > 0) || entries != row.want {
				t.Errorf("got %d entries and error %v, want %d entries", entries, err, row.want)
			}
			if version := c.currentAddress().version; (version >= 0) != (row.want > 0) {
				t.Errorf("got version %d, want a version only if the list is accepted", version)
			}
		})
	}
}

// A response that a broken connection truncates gives no information, so the watch resumes from the previous version.
// After a response that is complete but malformed, the complete list is requested.
func TestMalformedListRequestsTheCompleteList(t *testing.T) {
	const withLength = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
	for _, row := range []struct {
		name, response string
		want           int64
	}{
		{"broken", fmt.Sprintf(withLength, 90, `{"rev":8,"all":true,"targets":[`), 7},
		{"broken after the list", fmt.Sprintf(withLength, 90, `{"rev":8,"all":true,"targets":[]}`), 7},
		{"broken in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n" + `{"rev":8,"all"`, 7},
		{"complete but malformed", fmt.Sprintf(withLength, 31, `{"rev":8,"all":true,"targets":[`), NoVersion},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			agent := testutil.NewServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
				io.WriteString(conn, row.response)
				return false
			})
			c, reports := newClient(t, Config{Address: agent.Address(), Polled: true, Version: 7})
			_, err := c.poll(t.Context(), c.currentAddress(), false)
			if version := c.currentAddress().version; err == nil || version != row.want {
				t.Errorf("got error %v and version %d, want an error and version %d", err, version, row.want)
			}
			if len(reports) > 0 {
				t.Errorf("got report %+v, want none", <-reports)
			}
		})
	}
}

// The text of a list is not buffered as a whole: reading it allocates less than its length.
func TestListsAreReadWithoutACopyOfTheText(t *testing.T) {
	text := testutil.LongList(largestFleet, strings.Repeat("x", 1000), false)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	list, err := endpointlist.Read(newListBody(strings.NewReader(text)))
	runtime.ReadMemStats(&after)
	if err != nil || len(list.Entries) != largestFleet {
		t.Fatalf("got %d entries and error %v, want all entries", len(list.Entries), err)
	}
	if got := after.TotalAlloc - before.TotalAlloc; got > uint64(len(text)) {
		t.Errorf("%d bytes were allocated, want at most the %d bytes of the list", got, len(text))
	}
}

func BenchmarkReadList(b *testing.B) {
	for _, indented := range []bool{false, true} {
		text := testutil.LongList(largestFleet, "", indented)
		b.Run(fmt.Sprintf("servers=%d,indented=%v", largestFleet, indented), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := endpointlist.Read(newListBody(strings.NewReader(text))); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
