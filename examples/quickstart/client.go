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

// requestClass holds the properties of a class of requests that clients need. The name of the class is the first part
// of the path. The other properties of the class are in examples/config.json.
type requestClass struct {
	name     string
	method   string
	keyed    bool          // requests have an Idempotency-Key header
	deadline time.Duration // how long a client waits for the response
}

// The classes of examples/config.json.
var (
	classView      = &requestClass{name: "view", method: http.MethodGet, deadline: 2500 * time.Millisecond}
	classFavourite = &requestClass{
		name: "favourite", method: http.MethodPost, keyed: true, deadline: 2500 * time.Millisecond,
	}
	classOrder = &requestClass{name: "order", method: http.MethodPost, deadline: 3 * time.Second}
)

// classMix is the repeating sequence of classes that clients send: six views and three favourites for each order.
var classMix = [...]*requestClass{
	classView, classFavourite, classView, classView, classOrder,
	classView, classFavourite, classView, classFavourite, classView,
}

// result is the result of a request, as its client saw it.
type result struct {
	class  *requestClass
	id     string // of the request
	sentAt time.Time
	status int // HTTP status code
	body   string
	err    error // set if there was no complete response
}

// responseBody is the body of a server's response to a request.
func responseBody(server, requestID string) string { return server + " " + requestID }

// server returns the name of the server that served the request, or an empty string if none did.
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

// send sends one request and waits for its response. The number makes the id of the request unique.
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

// do sends a prepared request and reads the whole response.
func (c *clients) do(request *http.Request) (status int, body string, err error) {
	response, err := c.http.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

// readyPollInterval is the interval of awaitReady's readiness checks.
const readyPollInterval = 10 * time.Millisecond

// awaitReady waits until the node reports that it is ready for traffic, for which it needs an endpoint list.
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
