package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"basaltdrum/internal/monotime"
	"basaltdrum/internal/netdial"
)

// Limits on the connections to an address of the registry. A connection that is never established occupies a slot
// until its dial times out.
const (
	agentDialTimeout = 2 * agentCheckTimeout
	maxAgentConns    = 8
)

// registryAddress is an address of the registry or of its agent, with the state that is valid for this address
// only: its HTTP client and the version of the list.
type registryAddress struct {
	ctx     context.Context // ends when the watch moves to another address
	cancel  context.CancelFunc
	addr    string
	client  *http.Client
	dial    netdial.Func
	version int64 // of the last list received, or NoVersion
}

func newRegistryAddress(addr string, version int64, dial netdial.Func) *registryAddress {
	a := &registryAddress{addr: addr, version: version, dial: dial}
	a.client = &http.Client{Transport: &http.Transport{
		DisableCompression: true,
		MaxConnsPerHost:    maxAgentConns,
		DialContext:        a.connect,
	}}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// connect opens a connection within agentDialTimeout, including the retries after a local fault.
func (a *registryAddress) connect(ctx context.Context, network, address string) (nc net.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, agentDialTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	mayWait := func(wait time.Duration) bool { return time.Until(deadline) > wait }
	_, err = netdial.WithBackoff(ctx, mayWait, func() error {
		nc, err = a.dial(ctx, network, address)
		return err
	})
	return nc, err
}

// get requests the changes since a version, or the complete list for NoVersion. The registry may withhold its response
// for up to hold while nothing has changed.
func (a *registryAddress) get(ctx context.Context, from int64, hold time.Duration) (*http.Response, error) {
	u := url.URL{Scheme: "http", Host: a.addr, Path: "/registry/instances"}
	if from >= 0 {
		u.RawQuery = url.Values{
			"from":    {strconv.FormatInt(from, 10)},
			"hold_ms": {strconv.FormatInt(hold.Milliseconds(), 10)},
		}.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("watch: %w", err)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("watch: %w", err)
	}
	return resp, nil
}

// checkAgent is a health check of the agent: it polls without a hold until a response arrives or ctx ends, and reports
// whether a response has arrived. It starts after a delay in which a healthy agent responds to the concurrent poll.
func (a *registryAddress) checkAgent(ctx context.Context, from int64) bool {
	monotime.Sleep(ctx, agentCheckTimeout)
	for ctx.Err() == nil {
		next := time.After(retryInterval)
		if a.responds(ctx, from) {
			return true
		}
		select {
		case <-ctx.Done():
		case <-next:
		}
	}
	return false
}

// responds reports whether the response headers of a poll without a hold arrive within agentCheckTimeout.
func (a *registryAddress) responds(ctx context.Context, from int64) bool {
	ctx, cancel := context.WithTimeout(ctx, agentCheckTimeout)
	defer cancel()
	resp, err := a.get(ctx, from, time.Millisecond)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return true
}
