package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/endpointlist"
	"basaltdrum/internal/monotime"
	"basaltdrum/internal/testutil"
	"basaltdrum/internal/upstream"
)

// machineClocks are the clocks of a machine: time passes on both, and the wall clock can be stepped.
type machineClocks struct{ elapsed, unix time.Duration }

func newMachineClocks() *machineClocks { return &machineClocks{unix: 1_800_000_000 * time.Second} }

func (m *machineClocks) clock() monotime.Clock {
	return monotime.Simulated(func() time.Duration { return m.elapsed }, func() time.Duration { return m.unix })
}

// processStart is the clock time at which the process started.
func (m *machineClocks) processStart() time.Duration { return m.clock().Now() - m.elapsed }

func (m *machineClocks) pass(d time.Duration) { m.elapsed, m.unix = m.elapsed+d, m.unix+d }

// bootMS is the wall clock as a server that starts now reports it.
func (m *machineClocks) bootMS() int64 { return m.unix.Milliseconds() }

// bootLoop is the event loop of a node with these clocks, which has received no endpoint list yet.
func bootLoop(t testing.TB, m *machineClocks, push bool) *loop {
	t.Helper()
	cfg := testConfig("")
	cfg.Settings.SlowStartFloor, cfg.Settings.SlowStartDuration = 0.12, 24*time.Second
	cfg.Settings.OverloadMultiple, cfg.Settings.OverloadWindow = 2, time.Second
	b, err := balancer.New(cfg.Settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	l := newLoop(b, m.clock(), testutil.DiscardLog())
	l.rules.Store(newRequestRules(1, cfg.Settings))
	l.updateEndpoints, l.subscribe, l.listsPushed = func([]endpointlist.Entry, bool) {}, func() {}, push
	return l
}

// neverRestarted is a server that never restarts.
var neverRestarted = testutil.ListEntry("other", "127.0.0.1:2", "in_service")

// clockSteps are steps of the wall clock, some of them there and back.
var clockSteps = [][]time.Duration{
	{0},
	{time.Second},
	{-time.Second},
	{time.Minute},
	{-time.Minute},
	{time.Hour},
	{-time.Hour},
	{time.Hour, -time.Hour},
	{-time.Hour, time.Hour},
	{-time.Minute, time.Minute, time.Hour},
}

// A server's start is known in the node's monotonic time, whether the wall clock is stepped before the start,
// between it and the list that reports it, or after that list. Receiving the same list again changes nothing.
func TestStartTimesSurviveClockSteps(t *testing.T) {
	const late = 500 * time.Millisecond // from the start to the list that reports it
	for _, moment := range []string{"before the start", "before the list", "after the list"} {
		for _, full := range []bool{true, false} {
			for _, push := range []bool{true, false} {
				for _, steps := range clockSteps {
					m := newMachineClocks()
					l := bootLoop(t, m, push)
					set := func(when string) {
						for _, d := range steps {
							if when == moment {
								m.unix += d
							}
							m.pass(10 * time.Millisecond)
						}
					}
					l.handleEvent(listReceived{listOf(t, true, neverRestarted, testutil.StartedListEntry("s", m.bootMS()-1e6))})
					m.pass(10 * time.Second)
					set("before the start")
					started, news := l.clock.Now(), []string{testutil.StartedListEntry("s", m.bootMS())}
					if full {
						news = append(news, neverRestarted)
					}
					set("before the list")
					m.pass(late)
					l.handleEvent(listReceived{listOf(t, full, news...)})
					name := fmt.Sprintf("set by %v %s; pushed: %v; full list: %v", steps, moment, push, full)
					if got := l.endpoints["s"].StartedAt; got != started {
						t.Errorf("%s: started at %v, taken for %v", name, started, got)
					}
					for range 3 {
						set("after the list")
						m.pass(time.Second)
						l.handleEvent(listReceived{listOf(t, full, news...)})
						if got := l.endpoints["s"].StartedAt; got != started {
							t.Errorf("%s: started at %v, taken for %v when it is listed again", name, started, got)
						}
					}
				}
			}
		}
	}
}

// Where the clock offsets that were observed leave the start uncertain, the node relies on the lists that it has
// seen, and otherwise assumes the latest start that is possible.
func TestUncertainStartTimesCountAsLate(t *testing.T) {
	hour := time.Hour.Milliseconds()
	for _, c := range []struct {
		name string
		do   func(m *machineClocks, l *loop) // s1 starts in it or before
		want time.Duration                   // after the process's start; negative: long before
	}{
		{"in the future", func(m *machineClocks, l *loop) {
			m.pass(2 * time.Second)
			l.handleEvent(listReceived{listOf(t, true, testutil.StartedListEntry("s1", m.bootMS()+hour))})
		}, 2 * time.Second},
		{"beyond all times", func(m *machineClocks, l *loop) {
			m.pass(2 * time.Second)
			l.handleEvent(listReceived{listOf(t, true, testutil.StartedListEntry("s1", 1e13))})
		}, 2 * time.Second},
		{"a moment in the future is now, though another offset makes it an hour ago", func(m *machineClocks, l *loop) {
			m.unix -= time.Hour
			m.pass(2 * time.Second)
			l.handleEvent(listReceived{listOf(t, true, testutil.StartedListEntry("s1", m.bootMS()+50))})
		}, 2 * time.Second},
		{"before the process, and before the clock was set back", func(m *machineClocks, l *loop) {
			boot := m.bootMS() - 20_000
			m.unix -= time.Hour
			m.pass(2 * time.Second)
			l.handleEvent(listReceived{listOf(t, true, testutil.StartedListEntry("s1", boot))})
		}, -20 * time.Second},
		{"either of two times, as the clock was set back by less than its age", func(m *machineClocks, l *loop) {
			boot := m.bootMS() - 20_000
			m.unix -= 5 * time.Second
			m.pass(2 * time.Second)
			l.handleEvent(listReceived{listOf(t, true, testutil.StartedListEntry("s1", boot))})
		}, -15 * time.Second},
		{"in the list that the node last had", func(m *machineClocks, l *loop) {
			l.cachedList = listOf(t, true, testutil.StartedListEntry("s1", m.bootMS()-3000))
			l.handleEvent(discoveryUnresponsive{})
			m.unix += time.Hour
			m.pass(2 * time.Second)
			l.handleEvent(listReceived{listOf(t, true, testutil.StartedListEntry("s1", m.bootMS()-3000-2000-hour))})
		}, -3 * time.Second},
		{"before the process, whose clock was off at its start", func(m *machineClocks, l *loop) {
			boot := m.bootMS() - 3000
			m.unix += time.Hour // it is right from now on
			m.pass(2 * time.Second)
			l.handleEvent(listReceived{listOf(t, true, testutil.StartedListEntry("s1", boot+hour))})
		}, -3 * time.Second},
		{"since the list before, under a clock that the node never saw", func(m *machineClocks, l *loop) {
			l.handleEvent(listReceived{listOf(t, true, testutil.StartedListEntry("s1", 0))})
			m.pass(time.Second)
			l.handleEvent(listReceived{listOf(t, false, testutil.StartedListEntry("s2", 0))})
			m.pass(time.Second)
			l.handleEvent(listReceived{listOf(t, false, testutil.StartedListEntry("s1", m.bootMS()-hour))})
		}, time.Second},
		{"since a watch told that nothing had changed", func(m *machineClocks, l *loop) {
			l.handleEvent(listReceived{listOf(t, true, testutil.StartedListEntry("s1", 0))})
			m.pass(time.Second)
			l.handleEvent(listConfirmed{})
			m.pass(time.Second)
			l.handleEvent(listReceived{listOf(t, false, testutil.StartedListEntry("s1", m.bootMS()-hour))})
		}, time.Second},
		{"new in the list: it may have run all the while", func(m *machineClocks, l *loop) {
			l.handleEvent(listReceived{listOf(t, true, testutil.StartedListEntry("s2", 0))})
			m.pass(2 * time.Second)
			l.handleEvent(listReceived{listOf(t, false, testutil.StartedListEntry("s1", m.bootMS()-10_000))})
		}, -8 * time.Second},
		{"since the list that the node last had, which may be old", func(m *machineClocks, l *loop) {
			l.cachedList = listOf(t, true, testutil.StartedListEntry("s1", 0))
			l.handleEvent(discoveryUnresponsive{})
			m.pass(2 * time.Second)
			l.handleEvent(listReceived{listOf(t, true, testutil.StartedListEntry("s1", m.bootMS()-10_000))})
		}, -8 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMachineClocks()
			l := bootLoop(t, m, true)
			c.do(m, l)
			if got := l.endpoints["s1"].StartedAt - m.processStart(); got != c.want {
				t.Errorf("%s: taken to have started at %v, want %v", c.name, got, c.want)
			}
		})
	}
}

// Two starts of a server have different times for the module, even if both can only be placed at the present
// moment: what was learned of the first instance must be forgotten.
func TestEachStartHasADistinctTime(t *testing.T) {
	m := newMachineClocks()
	l := bootLoop(t, m, true)
	seen := map[time.Duration]bool{}
	for i := range int64(4) {
		l.handleEvent(listReceived{listOf(t, true, testutil.StartedListEntry("s", m.bootMS()+1e6*(i+1)))})
		seen[l.endpoints["s"].StartedAt] = true
	}
	if len(seen) != 4 {
		t.Errorf("four starts have %d times", len(seen))
	}
}

// The number of observed offsets is bounded, however often the clock is stepped, and slewing the clock is no step.
func TestClockOffsetsAreBounded(t *testing.T) {
	m := newMachineClocks()
	b := newBootClock(m.clock())
	for range 1000 {
		m.pass(time.Second)
		m.unix += offsetTolerance / 2
		b.observe()
	}
	if len(b.offsets) != 1 {
		t.Errorf("a clock that is slewed has %d offsets", len(b.offsets))
	}
	for i := range 1000 {
		m.unix += time.Duration(i) * time.Second
		b.observe()
	}
	if len(b.offsets) != maxOffsets {
		t.Errorf("%d offsets are kept, want %d", len(b.offsets), maxOffsets)
	}
}

// timedEnd is when an attempt ends.
type timedEnd struct {
	at      time.Duration
	attempt *attempt
}

// loopTraffic drives an event loop by the clocks of its machine: a request every 5 ms, each served after 4 ms.
type loopTraffic struct {
	loop *loop
	m    *machineClocks
	ends []timedEnd
	sent int
}

func newLoopTraffic(l *loop, m *machineClocks) *loopTraffic {
	d := &loopTraffic{loop: l, m: m}
	l.start = func(a *attempt) {
		d.ends = append(d.ends, timedEnd{l.clock.Now() + 4*time.Millisecond, a})
		d.sent++
	}
	return d
}

// run counts the requests that are sent in each of a number of seconds.
func (d *loopTraffic) run(seconds int) (counts []int) {
	for range seconds {
		d.sent = 0
		for range 200 {
			d.step()
		}
		counts = append(counts, d.sent)
	}
	return counts
}

func (d *loopTraffic) step() {
	now := d.loop.clock.Now()
	for len(d.ends) > 0 && d.ends[0].at <= now {
		end := d.ends[0]
		d.ends = d.ends[1:]
		d.loop.handleEvent(attemptEnded{end.attempt, upstream.Outcome{Result: balancer.Success, EndedAt: now}})
	}
	d.loop.fireTimers()
	d.loop.handleEvent(requestReceived{&request{
		Request: upstream.Request{ID: fmt.Sprint(now)}, class: "view", receivedAt: now, deadline: now + time.Second, revision: 1,
		response: make(chan response, 1),
	}})
	d.m.pass(5 * time.Millisecond)
}

// A server that restarts while the node runs goes through the same slow start, whatever happens to the wall clock
// meanwhile.
func TestRestartedServerWarmsUpDespiteClockSteps(t *testing.T) {
	restart := func(before, after time.Duration) []int {
		m := newMachineClocks()
		l := bootLoop(t, m, true)
		l.handleEvent(listReceived{listOf(t, true, testutil.StartedListEntry("s", 0))})
		d := newLoopTraffic(l, m)
		d.run(5)
		m.unix += before
		news := listOf(t, true, testutil.StartedListEntry("s", m.bootMS()))
		m.unix += after
		l.handleEvent(listReceived{news})
		return d.run(8)
	}
	want := restart(0, 0)
	t.Logf("requests in each second of the restarted server, clock not set: %v", want)
	for _, d := range []time.Duration{time.Second, -time.Second, time.Minute, -time.Minute, time.Hour, -time.Hour} {
		if got := restart(d, 0); !slices.Equal(got, want) {
			t.Errorf("clock set by %v before the start: %v", d, got)
		}
		if got := restart(0, d); !slices.Equal(got, want) {
			t.Errorf("clock set by %v after the start: %v", d, got)
		}
	}
}
