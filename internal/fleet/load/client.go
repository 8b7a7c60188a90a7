package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Parameters of all generated calls.
const (
	Class    = "view"          // request class
	Deadline = 3 * time.Second // how long a client waits for a response
)

// Outcome is the result of a call as seen by its client.
type Outcome int

// The outcomes of a call.
const (
	Served       Outcome = iota
	Rejected             // safe to retry
	Failed               // it may have been executed, or got no response
	UnknownClass         // the node does not know the class
)

// Client makes calls in the format of the operators' protocol, one at a time on each connection.
type Client struct{ http *http.Client }

// NewClient returns a client. It opens connections on demand.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 1000,
		IdleConnTimeout: 30 * time.Second,
	}}}
}

// maxResponseBytes is how many bytes of a response body are read.
const maxResponseBytes = 64 << 10

// Call makes a call to a node or a server, which must respond by deadline, and reads the complete response.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	switch {
	case err != nil:
		return Failed, fmt.Errorf("call: %w", err)
	case resp.StatusCode == http.StatusNotFound:
		return UnknownClass, nil
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		return Rejected, nil
	case resp.StatusCode != http.StatusOK:
		return Failed, fmt.Errorf("call: unexpected status %d", resp.StatusCode)
	case !strings.Contains(string(body), id):
		return Failed, fmt.Errorf("call: the response to %s does not contain its id: %q", id, body)
	}
	return Served, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
