package standin

import (
	"testing"
)

// Sizes of the rotations in these tests.
const (
	rotationServers  = 12
	firstZoneServers = 2 // of rotationServers
	changesPerServer = 3 // it drains, is removed, and is listed again
)

// listedCount returns how many servers a list contains.
func listedCount(l *list) int { return len(l.changesSince(noVersion).Entries) }

// At most one server is missing from the list at a time, and none after the last change of each.
func TestRotationRemovesAtMostOneServer(t *testing.T) {
	rotation := NewRotation(0, rotationServers, testEndpoint)
	l := newList(rotation.Entries())
	for i := range changesPerServer * rotationServers {
		l.change(rotation.Next())
		listed := listedCount(l)
		if listed < rotationServers-1 || listed > rotationServers {
			t.Fatalf("after %d changes %d servers are listed, want 11 or 12", i+1, listed)
		}
		if i%changesPerServer == changesPerServer-1 && listed != rotationServers {
			t.Fatalf("after all changes of a server %d servers are listed, want all 12", listed)
		}
	}
}

// During an outage of the first zone the servers of the other zones are still changed in turn. After the outage all
// servers are listed and have restarted.
func TestRotationDuringZoneOutage(t *testing.T) {
	const others = rotationServers - firstZoneServers
	rotation := NewRotation(0, rotationServers, testEndpoint)
	l := newList(rotation.Entries())
	for range changesPerServer * rotationServers {
		l.change(rotation.Next())
	}
	l.change(rotation.ChangeZone(false))
	for range changesPerServer * rotationServers {
		l.change(rotation.Next())
		if listed := listedCount(l); listed < others-1 || listed > others {
			t.Fatalf("%d servers are listed without the %d of the first zone, want 9 or 10", listed, firstZoneServers)
		}
	}
	l.change(rotation.ChangeZone(true))
	if listed := listedCount(l); listed != rotationServers {
		t.Fatalf("%d servers are listed after the outage, want all 12", listed)
	}
	for _, entry := range l.changesSince(noVersion).Entries {
		if entry.BootMS == 0 {
			t.Errorf("the entry of %s has no boot time, want the time of its restart", entry.UID)
		}
	}
}
