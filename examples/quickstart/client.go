package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// requestClass is a class of requests as clients know it. The class is the first part of the path, and decides the
// method; examples/config.json has the other properties.
type requestClass struct {
	name     string
	method   string
	keyed    bool          // requests have an Idempotency-Key
	deadline time.Duration // how long a client waits
}

// The classes of examples/config.json.
var (
	classView      = &requestClass{name: "view", method: http.MethodGet, deadline: 2500 * time.Millisecond}
	classFavourite = &requestClass{
		name: "favourite", method: http.MethodPost, keyed: true, deadline: 2500 * time.Millisecond,
	}
	classOrder = &requestClass{name: "order", method: http.MethodPost, deadline: 3 * time.Second}
)

// classMix is how the classes follow each other: six views and three favourites for each order.
var classMix = [...]*requestClass{
	classView, classFavourite, classView, classView, classOrder,
	classView, classFavourite, classView, classFavourite, classView,
}

// result is how a request ended, as its client saw it.
type result struct {
	class  *requestClass
	id     string // of the request
	sentAt time.Time
	status int // of HTTP
	body   string
	err    error // there was no complete response
}

// responseBody is the body of a server's response to a request.
func responseBody(server, requestID string) string { return server + " " + requestID }

// server returns the name of the server that made the response, if one did.
func (r result) server() string {
	if r.status != http.StatusOK {
		return ""
	}
	name, _, _ := strings.Cut(r.body, " ")
	return name
}

// clients send requests to the node. They share a pool of connections, each of which carries one request at a time.
type clients struct {
	address string // of the node
	http    *http.Client
}

func newClients(address string) *clients {
	transport := &http.Transport{MaxIdleConnsPerHost: clientCount}
	return &clients{address: address, http: &http.Client{Transport: transport}}
}

// close closes the connections, all of which are idle.
func (c *clients) close() { c.http.CloseIdleConnections() }

// send sends one request and waits for its response. The number makes the request's id unique.
func (c *clients) send(ctx context.Context, class *requestClass, number int) result {
	sent := result{class: class, id: fmt.Sprintf("request-%d", number), sentAt: time.Now()}
	url := fmt.Sprintf("http://%s/%s/%d", c.address, class.name, number)
	request, err := http.NewRequestWithContext(ctx, class.method, url, nil)
	if err != nil {
		sent.err = err
		return sent
	}
	request.Header.Set("X-Request-Id", sent.id)
	request.Header.Set("X-Deadline", strconv.FormatFloat(class.deadline.Seconds(), 'f', -1, 64))
	if class.keyed {
		request.Header.Set("Idempotency-Key", "key-"+sent.id)
	}
	sent.status, sent.body, sent.err = c.do(request)
	return sent
}

// do makes one call and reads the whole response.
func (c *clients) do(request *http.Request) (status int, body string, err error) {
	response, err := c.http.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return response.StatusCode, string(read), err
}

// readyPollInterval is how often awaitReady asks.
const readyPollInterval = 10 * time.Millisecond

// awaitReady waits until the node says that it may get traffic, which takes an endpoint list.
func (c *clients) awaitReady(ctx context.Context) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/health/ready", nil)
		if err != nil {
			return err
		}
		if status, _, err := c.do(request); err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the node is not ready: %w", context.Cause(ctx))
		case <-time.After(readyPollInterval):
		}
	}
}
