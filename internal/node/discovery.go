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
	pushHold      = time.Second
	pushGrace     = 250 * time.Millisecond
	askHold       = 2 * time.Second // discovery itself bears these calls
	askGrace      = 500 * time.Millisecond
	probeWait     = 150 * time.Millisecond // for the head of an answer that needs no hold
	probeInterval = 100 * time.Millisecond // from a failure that came at once to the next call
	// From the start of a call that was answered at once to the start of the next. While a long list changes many
	// times a second, several changes share a call, which costs a node more than what the call tells. A watch goes
	// on for 200 ms without a call, and what changes meanwhile must be in force 250 ms later.
	watchInterval = 20 * time.Millisecond
	firstWait     = time.Second     // that a new process waits for the list before it counts as ready
	toldLatest    = 6 * time.Second // after which a change counts as told, heard or not
	maxList       = 4 << 20         // bytes of a list; one of 3,200 servers that is indented has about 1 MB
	// A connection that never comes up holds its place among those to the agent until its dial is given up.
	agentDial  = 2 * probeWait
	agentConns = 8
)

// discovery follows the list of servers and posts its changes.
type discovery struct {
	post   func(event)
	log    *slog.Logger
	wanted chan struct{}
	hold   time.Duration
	grace  time.Duration
	first  time.Duration
	after  func(time.Duration) <-chan time.Time // time.After: what goes by after a call that failed

	mu sync.Mutex
	at *place // where the list is watched now
}

// place is an address of discovery, with all that holds there only.
type place struct {
	ctx    context.Context // ends when the watch moves elsewhere
	leave  context.CancelFunc
	addr   string
	client *http.Client
	dial   dialFunc
	rev    int64 // the version held; -1: none, so the whole list is asked for
}

func newPlace(addr string, rev int64) *place {
	p := &place{addr: addr, rev: rev, dial: (&net.Dialer{}).DialContext}
	p.client = &http.Client{Transport: &http.Transport{DisableCompression: true,
		MaxConnsPerHost: agentConns, DialContext: p.connect}}
	p.ctx, p.leave = context.WithCancel(context.Background())
	return p
}

// connect opens a connection to the agent within agentDial, be it dialled once or several times.
func (p *place) connect(ctx context.Context, network, address string) (nc net.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, agentDial)
	defer cancel()
	end, _ := ctx.Deadline()
	mayWait := func(wait time.Duration) bool { return time.Until(end) > wait }
	_, err = retryLocalTrouble(ctx, mayWait, func() error {
		nc, err = p.dial(ctx, network, address)
		return err
	})
	return nc, err
}

func newDiscovery(cfg Config, rev int64, post func(event), log *slog.Logger) *discovery {
	d := &discovery{post: post, log: log, at: newPlace(cfg.Discovery, rev), wanted: make(chan struct{}, 1),
		hold: askHold, grace: askGrace, first: firstWait, after: time.After}
	if !cfg.Settings.PollDiscovery {
		d.hold, d.grace = pushHold, pushGrace
		// The agent may hold more than the node last had, from the process's first moment on; and the
		// version that the node had may be of another place. So the whole list is asked for.
		d.at.rev = -1
	}
	return d
}

func (d *discovery) place() *place {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at
}

// move watches another address from now on. Versions count anew there, so its whole list is asked for;
// what the node holds stays in use until that has come. A call to the old address ends, and where lists are
// asked for the next one does not wait to be wanted.
func (d *discovery) move(addr string) {
	d.mu.Lock()
	old := d.at
	if old.addr == addr {
		d.mu.Unlock()
		return
	}
	d.at = newPlace(addr, -1)
	d.mu.Unlock()
	old.leave()
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
func (d *discovery) push(ctx context.Context) {
	late := time.AfterFunc(d.first, func() { d.post(discoverySilent{}) })
	defer late.Stop()
	doubt := true // whether the agent answers at all
	var at *place
	for ctx.Err() == nil {
		p := d.place()
		doubt = doubt || p != at
		at = p
		answers, err := d.watch(ctx, p, doubt)
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
		case <-d.after(probeInterval):
		}
	}
}

// probe asks the agent for what needs no hold until it answers, or ctx ends. It begins a while after the
// call beside it, which a sound agent answers first.
func (d *discovery) probe(ctx context.Context, p *place, from int64) bool {
	sleep(ctx, probeWait)
	for ctx.Err() == nil {
		again := time.After(probeInterval)
		one, cancel := context.WithTimeout(ctx, probeWait)
		resp, err := d.call(one, p, from, time.Millisecond)
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
func (d *discovery) ask(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wanted:
		}
		for d.askOnce(ctx) {
		}
	}
}

// askOnce makes one call, and tells whether another is to follow unasked. A call that failed by local trouble
// never came to discovery: the module need not wait after it, and is not told.
func (d *discovery) askOnce(ctx context.Context) (again bool) {
	p := d.place()
	_, err := d.watch(ctx, p, false)
	if err == nil || p.ctx.Err() != nil || ctx.Err() != nil {
		return ctx.Err() == nil
	}
	again = isLocalTrouble(err)
	d.log.Warn("the subscription failed", "error", err)
	if !again {
		d.post(listFailed{})
	}
	select {
	case <-ctx.Done():
	case <-p.ctx.Done():
	case <-d.after(probeInterval):
	}
	return again && ctx.Err() == nil
}

// watch makes one call and posts what it tells. In doubt, the agent is probed beside it: once it answers
// that, the call is known to be lost and is dropped, and answers is set.
//
// It returns watchInterval after it was called or later, if the call succeeds, so that calls in a row are paced.
func (d *discovery) watch(ctx context.Context, p *place, doubt bool) (answers bool, err error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, d.hold+d.grace)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	if doubt {
		probed, from := make(chan bool, 1), p.rev
		go func() {
			ok := d.probe(ctx, p, from)
			probed <- ok
			if ok {
				cancel()
			}
		}()
		defer func() { cancel(); answers = <-probed }()
	}
	if err := d.take(ctx, p); err != nil {
		return false, err
	}
	sleep(ctx, watchInterval-time.Since(started))
	return false, nil
}

// call asks for what is newer than a version, or for the whole list if that is negative.
func (d *discovery) call(ctx context.Context, p *place, from int64, hold time.Duration) (*http.Response, error) {
	u := url.URL{Scheme: "http", Host: p.addr, Path: "/registry/instances"}
	if from >= 0 {
		u.RawQuery = url.Values{"from": {strconv.FormatInt(from, 10)},
			"hold_ms": {strconv.FormatInt(hold.Milliseconds(), 10)}}.Encode()
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
func (d *discovery) take(ctx context.Context, p *place) error {
	resp, err := d.call(ctx, p, p.rev, d.hold)
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
	if err == nil && !l.full && l.rev < p.rev {
		err = fmt.Errorf("list: rev %d comes after %d", l.rev, p.rev)
	}
	if err != nil {
		p.rev = -1 // what the dropped answer told is missing: the whole list mends that
		return err
	}
	p.rev = l.rev
	if !l.full && len(l.targets) == 0 {
		d.postFrom(p, listConfirmed{}) // a hold that ended without news
		return nil
	}
	d.postFrom(p, listNews{list: l})
	return nil
}

// postFrom posts what a place told, unless the watch has moved elsewhere.
func (d *discovery) postFrom(p *place, e event) {
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
