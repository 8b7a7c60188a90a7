package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// The class of all calls, and how long a client waits.
const (
	Class    = "view"
	Deadline = 3 * time.Second
)

// Outcome is how a call ended, as its client sees it.
type Outcome int

// The outcomes of a call.
const (
	Served       Outcome = iota
	Rejected             // a retry is harmless
	Failed               // it may have run, or was not answered
	UnknownClass         // the node does not know the class
)

// Client makes calls as PROTOCOL has them, one at a time on each connection.
type Client struct{ http *http.Client }

// NewClient returns a client that has no connection yet.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 1000,
		IdleConnTimeout: 30 * time.Second,
	}}}
}

// maxAnswer is how much of an answer's body is read, in bytes.
const maxAnswer = 64 << 10

// Call makes a call to a node or a server, which has until deadline, and reads the answer to its end.
func (c *Client) Call(ctx context.Context, address, class, id string, deadline time.Time) (Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/"+class+"/k", nil)
	if err != nil {
		return Failed, fmt.Errorf("call: %w", err)
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline", fmt.Sprintf("%.4f", time.Until(deadline).Seconds()))
	resp, err := c.http.Do(req)
	if err != nil {
		return Failed, fmt.Errorf("call: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	switch {
	case err != nil:
		return Failed, fmt.Errorf("call: %w", err)
	case resp.StatusCode == http.StatusNotFound:
		return UnknownClass, nil
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		return Rejected, nil
	case resp.StatusCode != http.StatusOK:
		return Failed, fmt.Errorf("call: status %d", resp.StatusCode)
	case !strings.Contains(string(body), id):
		return Failed, fmt.Errorf("call: the answer to %s is another's: %q", id, body)
	}
	return Served, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
