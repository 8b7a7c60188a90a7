package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// place is an address of discovery, with all that holds there only.
type registryAddress struct {
	ctx     context.Context // ends when the watch moves elsewhere
	abandon context.CancelFunc
	addr    string
	client  *http.Client
	dial    dialFunc
	version int64 // the version held; -1: none, so the whole list is asked for
}

func newRegistryAddress(addr string, rev int64) *registryAddress {
	p := &registryAddress{addr: addr, version: rev, dial: (&net.Dialer{}).DialContext}
	p.client = &http.Client{Transport: &http.Transport{
		DisableCompression: true,
		MaxConnsPerHost:    maxAgentConns, DialContext: p.connect,
	}}
	p.ctx, p.abandon = context.WithCancel(context.Background())
	return p
}

// connect opens a connection to the agent within agentDial, be it dialled once or several times.
func (p *registryAddress) connect(ctx context.Context, network, address string) (nc net.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, agentDialTimeout)
	defer cancel()
	end, _ := ctx.Deadline()
	mayWait := func(wait time.Duration) bool { return time.Until(end) > wait }
	_, err = dialWithBackoff(ctx, mayWait, func() error {
		nc, err = p.dial(ctx, network, address)
		return err
	})
	return nc, err
}

// probe asks the agent for what needs no hold until it answers, or ctx ends. It begins a while after the
// call beside it, which a sound agent answers first.
func (d *discovery) checkAgent(ctx context.Context, p *registryAddress, from int64) bool {
	sleep(ctx, agentCheckTimeout)
	for ctx.Err() == nil {
		again := time.After(retryInterval)
		one, cancel := context.WithTimeout(ctx, agentCheckTimeout)
		resp, err := d.get(one, p, from, time.Millisecond)
		cancel()
		if err == nil {
			resp.Body.Close()
			return true
		}
		select {
		case <-ctx.Done():
		case <-again:
		}
	}
	return false
}

// call asks for what is newer than a version, or for the whole list if that is negative.
func (d *discovery) get(ctx context.Context, p *registryAddress, from int64, hold time.Duration) (*http.Response, error) {
	u := url.URL{Scheme: "http", Host: p.addr, Path: "/registry/instances"}
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
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("watch: %w", err)
	}
	return resp, nil
}
