package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"basaltdrum/balancer"
	"basaltdrum/internal/testutil"
)

// unmarshalList reads a list with json.Unmarshal, as the reference for the parser.
func unmarshalList(text []byte) (endpointList, error) {
	var f struct {
		Rev     *int64      `json:"rev"`
		All     *bool       `json:"all"`
		Targets []wireEntry `json:"targets"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return endpointList{}, err
	}
	if f.Rev == nil || f.All == nil {
		return endpointList{}, errors.New("rev or all is missing")
	}
	l := endpointList{version: *f.Rev, complete: *f.All}
	seen := map[string]bool{}
	for _, e := range f.Targets {
		t, err := e.toListEntry()
		if err != nil || seen[t.ID] {
			return endpointList{}, fmt.Errorf("uid %q: %w", t.ID, err)
		}
		seen[t.ID] = true
		l.entries = append(l.entries, t)
	}
	return l, nil
}

// The parser reads a list as json.Unmarshal does, and rejects it where that fails: in any form, truncated at any
// byte, with any byte replaced.
func TestListParserAgreesWithUnmarshal(t *testing.T) {
	s1, s2 := bootEntry("s1", 1.8e12), testutil.ListEntry("s2", "[::1]:80", "terminating")
	gone := `{"uid":"s3","state":"terminated"}`
	good := []string{
		`{"rev":3,"all":true,"targets":[]}`, `{"rev":3,"all":false,"targets":null}`, `{"all":false,"rev":-3}`,
		`{"targets":[` + s1 + `,` + s2 + `],"all":true,"rev":3}`,
		` { "REV" : 3 , "All":true, "tarGets" : [ ` + s1 + ` , ` + gone + `] } ` + "\n",
		`{"rev":3,"all":true,"more":{"a":[1,{"b":null}],"rev":4},"x":"}]","targets":[` + gone + `]}`,
		`{"rev":3,"rev":4,"all":false,"all":true}`, `{"\u0072ev":3,"all":true,"targets":[]}`,
		`{"rev":3,"all":true,"targets":[{"UID":"s1","State":"in_service","endpoint":"1.2.3.4:5","weight":{"a":[]}}]}`,
	}
	bad := []string{
		"", "null", "[]", "3", `"rev"`, `{"rev":null,"all":true}`, `{"rev":3,"all":null}`, `{"rev":"3","all":true}`,
		`{"rev":3.5,"all":true}`, `{"rev":3,"all":1}`, `{"rev":3,"all":true,"targets":{}}`, `{"rev":3,"all":true,"targets":3}`,
		`{"rev":3,"all":true,"targets":[null]}`, `{"rev":3,"all":true,"targets":[[]]}`, `{"rev":3,"all":true,"targets":["s1"]}`,
		`{"rev":3,"all":true,"targets":[` + s1 + `,` + s1 + `]}`, `{"rev":3,"all":true,"targets":[` + s1 + `,]}`,
		`{"rev":3,"all":true,"targets":[` + s1 + ` ` + s2 + `]}`, `{"rev":3,"all":true,"targets":[` + s1 + `}}`,
		`{"rev":3,"all":true,}`, `{"rev":3,"all":true}{}`, `{"rev":3,"all":true}x`, `{"rev":3,"all":true},`, `{"rev" 3,"all":true}`,
		`{"rev":3 "all":true}`, `{"rev":99999999999999999999,"all":true}`, `{"rev":3,"all":true,"targets":[{"uid":3}]}`,
	}
	same := func(text []byte) error {
		want, wantErr := unmarshalList(text)
		got, err := parseList(text)
		if (err == nil) != (wantErr == nil) || !reflect.DeepEqual(got, want) {
			t.Errorf("%s\ngot  %v, %v\nwant %v, %v", text, got, err, want, wantErr)
		}
		return err
	}
	for _, text := range bad {
		if same([]byte(text)) == nil {
			t.Errorf("%s is taken", text)
		}
	}
	for _, text := range good {
		if err := same([]byte(text)); err != nil {
			t.Errorf("%s: %v", text, err)
		}
		for i := range text {
			same([]byte(text[:i]))
			same([]byte(text[:i] + text[i+1:]))
			for _, other := range []byte(" \x00{}[],:\"\\0ne\xff") {
				changed := []byte(text)
				changed[i] = other
				same(changed)
			}
		}
	}
}

// manyServers is a complete list of servers, each with the same note beside what a node reads.
func manyServers(servers int, note string, indented bool) string {
	entries := make([]string, servers)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"uid":"s-%08x","endpoint":"10.1.%d.%d:7070","az":"zone-a","model":"m2","note":%q,`+
			`"pod_group":3,"state":"in_service","capacity_hint":1.0,"boot_ms":1800000000000}`, i, i/256, i%256, note)
	}
	text := strings.Replace(testutil.CompleteList(entries...), "%d", "7", 1)
	if indented {
		var b bytes.Buffer
		json.Indent(&b, []byte(text), "", "        ")
		text = b.String()
	}
	return text
}

// Lists of the largest fleet are accepted, indented or not; beyond the limit they are rejected.
func TestListsOfTheLargestFleetFit(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       int
	}{
		{"compact", manyServers(3200, "", false), 3200},
		{"indented", manyServers(3200, "", true), 3200},
		{"of the most bytes", strings.Repeat(" ", maxListBytes-len(manyServers(3200, "", false))) + manyServers(3200, "", false), 3200},
		{"of a byte too many", manyServers(1, "", false) + strings.Repeat(" ", maxListBytes+1-len(manyServers(1, "", false))), 0},
		{"endless", manyServers(3200, strings.Repeat("x", 2000), false), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			ag := testutil.NewRegistryAgent(t)
			ag.Set(false, c.text)
			var got []listEntry
			cfg := testConfig("")
			cfg.Discovery = ag.Addr().String()
			d := newDiscovery(cfg, -1, func(e event) { got = e.(listReceived).list.entries }, testutil.DiscardLog())
			if _, err := d.watchOnce(t.Context(), d.currentAddress(), false); (err == nil) != (c.want > 0) || len(got) != c.want {
				t.Errorf("%s: %d servers, %v, want %d", c.name, len(got), err, c.want)
			}
			if held := d.currentAddress().version >= 0; held != (c.want > 0) {
				t.Errorf("%s: rev %d is cached", c.name, d.currentAddress().version)
			}
		})
	}
}

// A response whose connection breaks says nothing, so the watch resumes from the cached version; after one that is
// complete and malformed, the complete list is requested.
func TestOnlyAMalformedListIsReplacedByTheCompleteOne(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		want         int64
	}{
		{"broken", "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n" + `{"rev":8,"all":true,"targets":[`, 7},
		{"broken after the list", "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n" + `{"rev":8,"all":true,"targets":[]}`, 7},
		{"broken in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n" + `{"rev":8,"all"`, 7},
		{"cut", "HTTP/1.1 200 OK\r\nContent-Length: 31\r\n\r\n" + `{"rev":8,"all":true,"targets":[`, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			agent := testutil.NewServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
				io.WriteString(conn, c.answer)
				return false
			})
			cfg := testConfig("")
			cfg.Discovery, cfg.Settings.PollDiscovery = agent.Address(), true
			d := newDiscovery(cfg, 7, func(e event) { t.Errorf("%s: posted %v", c.name, e) }, testutil.DiscardLog())
			if _, err := d.watchOnce(t.Context(), d.currentAddress(), false); err == nil || d.currentAddress().version != c.want {
				t.Errorf("%s: %v; rev %d is cached, want %d", c.name, err, d.currentAddress().version, c.want)
			}
		})
	}
}

// The text of a list is not held in memory beside its entries: the allocation depends on what is kept of it.
func TestListsAreReadWithoutACopyOfTheText(t *testing.T) {
	const servers = 3200
	text := manyServers(servers, strings.Repeat("x", 1000), false)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	l, err := readList(newListBody(strings.NewReader(text)))
	runtime.ReadMemStats(&after)
	if err != nil || len(l.entries) != servers {
		t.Fatalf("%d servers, %v", len(l.entries), err)
	}
	if got := after.TotalAlloc - before.TotalAlloc; got > uint64(len(text)) {
		t.Errorf("%d bytes were allocated for a list of %d", got, len(text))
	}
}

func BenchmarkReadList(b *testing.B) {
	for _, indented := range []bool{false, true} {
		text := manyServers(3200, "", indented)
		b.Run(fmt.Sprintf("servers=3200,indented=%v", indented), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := readList(newListBody(strings.NewReader(text))); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkListChange measures the node's own part of a change of one entry.
func BenchmarkListChange(b *testing.B) {
	for _, servers := range []int{100, 1600, 3200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			l, back := bootLoop(b, newMachineClocks(), true), testPool(10)
			all := parsedList(b, manyServers(servers, "", false))
			l.setStartTimes(all.entries)
			l.applyEntries(all)
			back.updateEndpoints(all.entries, true)
			var changes [2]endpointList
			for i, state := range []balancer.EndpointState{balancer.Draining, balancer.Ready} {
				changed := all.entries[servers/2]
				changed.State = state
				changes[i] = endpointList{version: 8, entries: []listEntry{changed}}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				news := changes[i%2]
				l.setStartTimes(news.entries)
				if l.isUnchanged(news) {
					b.Fatal("no change")
				}
				l.applyEntries(news)
				back.updateEndpoints(news.entries, false)
			}
		})
	}
}

// A malformed list is discarded completely, and the complete list is requested.
func TestMalformedListIsDiscarded(t *testing.T) {
	for _, bad := range []string{
		"", "{", "[]", `{"rev":2,"targets":[]}`, `{"all":true,"targets":[]}`,
		`{"rev":2,"all":true,"targets":[` + testutil.ListEntry("s1", "127.0.0.1:1", "in_service") + `,` + testutil.ListEntry("s2", "name:80", "in_service") + `]}`,
		`{"rev":2,"all":true,"targets":[` + testutil.ListEntry("s1", "127.0.0.1:1", "asleep") + `]}`,
		`{"rev":2,"all":true,"targets":[` + testutil.ListEntry("", "127.0.0.1:1", "in_service") + `]}`,
		`{"rev":2,"all":true,"targets":[` + testutil.ListEntry("s1", "127.0.0.1:1", "in_service") + `,` + testutil.ListEntry("s1", "127.0.0.1:2", "in_service") + `]}`,
		`{"rev":2,"all":true,"targets":[{"uid":"s1","endpoint":"127.0.0.1:1","state":"in_service","boot_ms":-1}]}`,
	} {
		if l, err := parseList([]byte(bad)); err == nil || l.entries != nil {
			t.Errorf("%q: %v, %v", bad, l, err)
		}
	}
	s := testutil.NewServer(t, testutil.Echo)
	ag := testutil.NewRegistryAgent(t)
	cfg := testConfig(testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service")))
	cfg.Discovery = ag.Addr().String()
	ag.Set(false, testutil.CompleteList(testutil.ListEntry("s1", s.Address(), "in_service")))
	n, _ := startNode(t, cfg, nil)
	for testutil.Wait(t, ag.Calls, "the watch for changes") == "" {
	}
	ag.Set(false, `{"rev":%d,"all":true,"targets":[`+testutil.ListEntry("s1", s.Address(), "terminated")+`,{"uid":""}]}`)
	if q := testutil.Wait(t, ag.Calls, "the call after the bad list"); q != "" {
		t.Errorf("called with %q, want the complete list", q)
	}
	c := dial(t, n)
	c.Get("r")
	c.Expect(t, 200, "for r")
}
