package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// Times of a watch. The worst that they make of a call that was lost comes to less than toldLatest: from the
// moment when discovery falls silent, the call is given up on after hold and grace; a dial and a head that
// never come cost probeWait and probeInterval once more where lists are pushed; where they are asked for, at
// most probeInterval or a quarter of ask-within-ms (6 s at the most) goes by before the next call, whichever
// is longer. TestLostCallIsMadeUpForInTime adds them up.
//
// An agent that is silent answers nothing, not even once it is back, so a call is given
// up on a little after its hold is over. Where lists are pushed, what the agent gets at discovery's return
// counts as told at once, and servers that drain must be left alone 250 ms later: the hold is shorter than
// an outage, so that one is noticed before it is over, and from then on the agent, which is local and
// answers at no cost, is probed several times within those 250 ms.
const (
	pushHold          = time.Second
	pushGrace         = 250 * time.Millisecond
	pollHold          = 2 * time.Second // discovery itself bears these calls
	pollGrace         = 500 * time.Millisecond
	agentCheckTimeout = 150 * time.Millisecond // for the head of an answer that needs no hold
	retryInterval     = 100 * time.Millisecond // from a failure that came at once to the next call
	// From the start of a call that was answered at once to the start of the next. While a long list changes many
	// times a second, several changes share a call, which costs a node more than what the call tells. A watch goes
	// on for 200 ms without a call, and what changes meanwhile must be in force 250 ms later.
	watchInterval  = 20 * time.Millisecond
	startupWait    = time.Second     // that a new process waits for the list before it counts as ready
	notifiedWithin = 6 * time.Second // after which a change counts as told, heard or not
	maxListBytes   = 4 << 20         // bytes of a list; one of 3,200 servers that is indented has about 1 MB
	// A connection that never comes up holds its place among those to the agent until its dial is given up.
	agentDialTimeout = 2 * agentCheckTimeout
	maxAgentConns    = 8
)

// discovery follows the list of servers and posts its changes.
type discovery struct {
	post        func(event)
	log         *slog.Logger
	wanted      chan struct{}
	hold        time.Duration
	grace       time.Duration
	startupWait time.Duration
	after       func(time.Duration) <-chan time.Time // time.After: what goes by after a call that failed

	mu      sync.Mutex
	current *registryAddress // where the list is watched now
}

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

func newDiscovery(cfg Config, rev int64, post func(event), log *slog.Logger) *discovery {
	d := &discovery{
		post: post, log: log, current: newRegistryAddress(cfg.Discovery, rev), wanted: make(chan struct{}, 1),
		hold: pollHold, grace: pollGrace, startupWait: startupWait, after: time.After,
	}
	if !cfg.Settings.PollDiscovery {
		d.hold, d.grace = pushHold, pushGrace
		// The agent may hold more than the node last had, from the process's first moment on; and the
		// version that the node had may be of another place. So the whole list is asked for.
		d.current.version = -1
	}
	return d
}

func (d *discovery) address() *registryAddress {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// move watches another address from now on. Versions count anew there, so its whole list is asked for;
// what the node holds stays in use until that has come. A call to the old address ends, and where lists are
// asked for the next one does not wait to be wanted.
func (d *discovery) setAddress(addr string) {
	d.mu.Lock()
	old := d.current
	if old.addr == addr {
		d.mu.Unlock()
		return
	}
	d.current = newRegistryAddress(addr, -1)
	d.mu.Unlock()
	old.abandon()
	old.client.CloseIdleConnections()
	d.subscribe()
}

// subscribe starts a watch where discovery is asked. It never blocks.
func (d *discovery) subscribe() {
	select {
	case d.wanted <- struct{}{}:
	default:
	}
}

// push watches from the start until ctx ends. The next call follows each answer within watchInterval: a watch is
// lost when it is late.
func (d *discovery) runPushed(ctx context.Context) {
	late := time.AfterFunc(d.startupWait, func() { d.post(discoveryUnresponsive{}) })
	defer late.Stop()
	doubt := true // whether the agent answers at all
	var at *registryAddress
	for ctx.Err() == nil {
		p := d.address()
		doubt = doubt || p != at
		at = p
		answers, err := d.watchOnce(ctx, p, doubt)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil || answers || p.ctx.Err() != nil:
			doubt = false
			continue
		case !doubt:
			d.log.Warn("discovery does not answer; asking again", "error", err)
			doubt = true
		}
		select {
		case <-ctx.Done():
		case <-p.ctx.Done():
		case <-d.after(retryInterval):
		}
	}
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

// ask serves Subscribes until ctx ends: a watch that goes on until it fails, which is reported once. What the
// module waits for then is a part of ask-within-ms, which may be next to nothing, and a refused call ends at
// once: so that no two follow each other at once, the next one waits for probeInterval, or until the watch moves.
func (d *discovery) runPolled(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wanted:
		}
		for d.pollOnce(ctx) {
		}
	}
}

// askOnce makes one call, and tells whether another is to follow unasked. A call that failed by local trouble
// never came to discovery: the module need not wait after it, and is not told.
func (d *discovery) pollOnce(ctx context.Context) (again bool) {
	p := d.address()
	_, err := d.watchOnce(ctx, p, false)
	if err == nil || p.ctx.Err() != nil || ctx.Err() != nil {
		return ctx.Err() == nil
	}
	again = isLocalDialError(err)
	d.log.Warn("the subscription failed", "error", err)
	if !again {
		d.post(subscriptionFailed{})
	}
	select {
	case <-ctx.Done():
	case <-p.ctx.Done():
	case <-d.after(retryInterval):
	}
	return again && ctx.Err() == nil
}

// watch makes one call and posts what it tells. In doubt, the agent is probed beside it: once it answers
// that, the call is known to be lost and is dropped, and answers is set.
//
// It returns watchInterval after it was called or later, if the call succeeds, so that calls in a row are paced.
func (d *discovery) watchOnce(ctx context.Context, p *registryAddress, doubt bool) (answers bool, err error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, d.hold+d.grace)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	if doubt {
		probed, from := make(chan bool, 1), p.version
		go func() {
			ok := d.checkAgent(ctx, p, from)
			probed <- ok
			if ok {
				cancel()
			}
		}()
		defer func() { cancel(); answers = <-probed }()
	}
	if err := d.receive(ctx, p); err != nil {
		return false, err
	}
	sleep(ctx, watchInterval-time.Since(started))
	return false, nil
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

// take makes one call and posts what it tells.
func (d *discovery) receive(ctx context.Context, p *registryAddress) error {
	resp, err := d.get(ctx, p, p.version, d.hold)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("watch: status %d", resp.StatusCode)
	}
	body := newListBody(resp.Body)
	l, err := readList(body)
	if body.err != nil {
		return fmt.Errorf("watch: %w", body.err)
	}
	if err == nil && !l.complete && l.version < p.version {
		err = fmt.Errorf("list: rev %d comes after %d", l.version, p.version)
	}
	if err != nil {
		p.version = -1 // what the dropped answer told is missing: the whole list mends that
		return err
	}
	p.version = l.version
	if !l.complete && len(l.entries) == 0 {
		d.postFrom(p, listConfirmed{}) // a hold that ended without news
		return nil
	}
	d.postFrom(p, listReceived{list: l})
	return nil
}

// postFrom posts what a place told, unless the watch has moved elsewhere.
func (d *discovery) postFrom(p *registryAddress, e event) {
	if p.ctx.Err() == nil {
		d.post(e)
	}
}

// sleep waits for a while or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
