package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basaltdrum/internal/http1"
	"basaltdrum/internal/testutil"
)

const (
	requestStart = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %d\r\nX-Deadline: 40\r\n"
	// headLimit is the length of the longest head, in bytes, that net/http reads without an error.
	headLimit = 20 << 10
)

// repeatTo repeats a line, in which %s is a different name of three letters each time, up to a length.
func repeatTo(length int, line string) string {
	var text strings.Builder
	for i := 0; text.Len()+len(line) < length; i++ {
		name := string([]byte{'a' + byte(i%26), 'a' + byte(i/26%26), 'a' + byte(i/26/26%26)})
		text.WriteString(strings.ReplaceAll(line, "%s", name))
	}
	return text.String()
}

// memoryAttacks are what hundreds of clients send to make a node hold much memory, each once on a connection of its
// own. Then they wait.
var memoryAttacks = []struct{ name, text string }{
	{"short fields without an end", requestStart + repeatTo(headLimit-200, "%s:\r\n")},
	{"short fields in one segment", requestStart + repeatTo(4000, "%s:\r\n")},
	{"one short field again and again", requestStart + repeatTo(headLimit-200, "a:\n")},
	{"short fields after an invalid one", requestStart + "Content-Length: x\r\n" + repeatTo(headLimit-200, "%s:\r\n")},
	{"as many fields as are allowed", requestStart + repeatTo(headLimit-200, "%s: "+strings.Repeat("x", 205)+"\r\n")},
	{"a folded field without an end", requestStart + "X-Pad: a\r\n" + repeatTo(headLimit-200, " %s\r\n")},
	{"a long field without an end", requestStart + "X-Pad: " + strings.Repeat("x", headLimit-200)},
	{"a request line without an end", "POST /note/" + strings.Repeat("x", headLimit-200)},
	{
		"short fields before a body that stays out",
		requestStart + repeatTo(16000, "%s:\r\n") + "Content-Length: 9\r\n\r\n",
	},
	{
		"as many fields as are allowed before such a body",
		requestStart + repeatTo(16000, "%s: "+strings.Repeat("x", 165)+"\r\n") + "Content-Length: 9\r\n\r\n",
	},
	{"a short head before such a body", requestStart + "Content-Length: 9\r\n\r\n"},
	{"short trailers", requestStart + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + repeatTo(4000, "%s:\r\n") + "\r\n"},
}

// TestHeadsStayWithinTheMemoryLimit guards against a node that holds heads without counting what net/http needs for
// them: 250 clients whose heads had many short fields took it over its memory limit, and it was killed. The pages of
// the program do not count, as they can be read again.
func TestHeadsStayWithinTheMemoryLimit(t *testing.T) {
	build(t)
	for _, limits := range []struct{ memoryMB, sockets int }{{32, 1024}, {64, 608}, {192, 1024}} {
		for _, attack := range memoryAttacks {
			name := fmt.Sprintf("%d MB, %d descriptors, %s", limits.memoryMB, limits.sockets, attack.name)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				checkHeads(t, limits.memoryMB, limits.sockets, attack.text)
			})
		}
	}
}

// checkHeads sends the same text from as many clients as there are descriptors, and waits until the node has answered
// or closed all of their connections.
func checkHeads(t *testing.T, memoryMB, sockets int, text string) {
	t.Helper()
	p := launch(t, memoryConfig(memoryMB, sockets, nil), sockets)
	address := p.address(t)
	var clients sync.WaitGroup
	for number := range sockets {
		clients.Add(1)
		go func() {
			defer clients.Done()
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(waitTimeout))
			io.WriteString(conn, strings.Replace(text, "%d", fmt.Sprint(number), 1))
			io.Copy(io.Discard, conn)
		}()
	}
	clients.Wait()
	if !p.alive() {
		t.Fatalf("the node has ended:\n%s", p.logText())
	}
	checkMemory(t, p, memoryMB)
}

// TestResponseHeadsStayWithinTheMemoryLimit is the same for servers, all of which send heads with short fields and no
// end to a third of the descriptors: the node gives such responses up, and does not hold them until its attempts end.
func TestResponseHeadsStayWithinTheMemoryLimit(t *testing.T) {
	const memoryMB, sockets, clients = 64, 1024, 1024 / 3
	build(t)
	var arrived, closed atomic.Int64
	allArrived := make(chan struct{})
	server := testutil.NewServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		if arrived.Add(1) == clients {
			close(allArrived)
		}
		<-allArrived
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+repeatTo(http1.MaxHeaderBytes-20, "%s:\r\n"))
		io.Copy(io.Discard, conn)
		closed.Add(1)
		return false
	})
	var entries []string
	for i := range clients {
		entries = append(entries, listEntry(fmt.Sprint("s-", i), server.Address()))
	}
	p := launch(t, memoryConfig(memoryMB, sockets, entries), sockets)
	address := p.address(t)
	for number := range clients {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		fmt.Fprintf(conn, requestStart+"\r\n", number)
	}
	eventually(t, "the node to give up each response, or to exceed its limit", func() bool {
		peak, mappedFiles := peakMemoryKB(t, p.cmd.Process.Pid)
		return closed.Load() >= clients || peak-mappedFiles > memoryMB<<10
	})
	checkMemory(t, p, memoryMB)
}
