package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basaltdrum/internal/http1"
)

// memoryConfig returns the configuration of a node with a memory limit, in megabytes, and with the class note, whose
// requests have bodies.
func memoryConfig(memoryMB, sockets int, entries []string) string {
	config := nodeConfig("127.0.0.1:0", "127.0.0.1:1", strings.Join(entries, ","), "pushed", sockets)
	return strings.NewReplacer(
		`"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, memoryMB),
		`"lanes":[`, `"lanes":[{"name":"note","effect":"non_idempotent","target-ms":20000,"deadline-ms":40000},`,
	).Replace(config)
}

// newLongServers starts servers that read a request, wait until ready returns, and send the longest response allowed.
// They return as many entries of a list as there are requests, so that the node admits all requests at once.
func newLongServers(t testing.TB, requests int, ready func()) (entries []string) {
	t.Helper()
	const addresses = 8
	body := strings.Repeat("y", http1.MaxBodyBytes)
	handle := func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		ready()
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		io.WriteString(w, body)
	}
	var servers []string
	for range addresses {
		servers = append(servers, newServer(t, "", handle))
	}
	for i := range requests {
		uid := fmt.Sprintf(`"uid":"s-%d"`, i)
		entries = append(entries, strings.Replace(servers[i%addresses], `"uid":""`, uid, 1))
	}
	return entries
}

// longClients are clients with a connection each, on which they send long requests one at a time.
type longClients struct {
	address string
	clients int

	served, refused, failed atomic.Int64 // responses with status 200, with status 503, and all other outcomes
	slowest                 atomic.Int64 // longest time from a request to the end of its response, in nanoseconds
}

// retryWait is how long a client waits after a request was refused.
const retryWait = 300 * time.Millisecond

// run sends requests from all clients until each has ended. A client ends once more returns false for the number of its
// responses.
func (l *longClients) run(more func(responses int) bool) {
	var running sync.WaitGroup
	for number := range l.clients {
		running.Add(1)
		go func() {
			defer running.Done()
			l.runClient(fmt.Sprint("client-", number), more)
		}()
	}
	running.Wait()
}

func (l *longClients) runClient(name string, more func(responses int) bool) {
	conn, err := net.Dial("tcp", l.address)
	if err != nil {
		l.failed.Add(1)
		return
	}
	defer conn.Close()
	reader, body := bufio.NewReader(conn), strings.Repeat("x", http1.MaxBodyBytes)
	for sent := 0; more(sent); sent++ {
		start := time.Now()
		conn.SetDeadline(start.Add(2 * waitTimeout))
		fmt.Fprintf(conn, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s-%d\r\nX-Deadline: 40\r\n"+
			"Content-Length: %d\r\n\r\n%s", name, sent, len(body), body)
		status, err := readLong(reader)
		l.record(status, err, time.Since(start))
		if err != nil {
			return
		}
		if status == http.StatusServiceUnavailable {
			time.Sleep(retryWait)
		}
	}
}

// readLong reads a response. It fails unless the response is complete, and the longest allowed if its status is 200.
func readLong(reader *bufio.Reader) (status int, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	length, err := io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode == http.StatusOK && length != http1.MaxBodyBytes {
		err = fmt.Errorf("got a body of %d bytes, want %d", length, http1.MaxBodyBytes)
	}
	if response.Close {
		err = errors.Join(err, errors.New("the connection was closed after a response"))
	}
	return response.StatusCode, err
}

func (l *longClients) record(status int, err error, took time.Duration) {
	switch {
	case err != nil:
		l.failed.Add(1)
	case status == http.StatusOK:
		l.served.Add(1)
	case status == http.StatusServiceUnavailable:
		l.refused.Add(1)
	default:
		l.failed.Add(1)
	}
	for slowest := l.slowest.Load(); int64(took) > slowest; slowest = l.slowest.Load() {
		if l.slowest.CompareAndSwap(slowest, int64(took)) {
			return
		}
	}
}

// peakMemoryKB returns the highest resident memory of a process so far, in kB, and what of it are pages of mapped
// files, such as the program.
func peakMemoryKB(t testing.TB, pid int) (peak, mappedFiles int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := map[string]int{}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		if kB, isSize := strings.CutSuffix(strings.TrimSpace(value), " kB"); isSize {
			fields[name], _ = strconv.Atoi(kB)
		}
	}
	if fields["VmHWM"] == 0 || fields["RssFile"] == 0 {
		t.Fatalf("the process has no VmHWM or RssFile:\n%s", text)
	}
	return fields["VmHWM"], fields["RssFile"]
}
