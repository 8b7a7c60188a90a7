package standin

import (
	"testing"
)

// Twelve servers, of which two are in the first zone.
const (
	rotationServers = 12
	zoneServers     = 2
	changesOfServer = 3 // it drains, is removed, and is listed again
)

// listedServers returns how many servers a list has.
func listedServers(l *list) int { return len(l.since(noVersion).Entries) }

// At most one server is missing from the list at a time, and none after the last change of each.
func TestRotationMissesOneServerAtMost(t *testing.T) {
	rotation := NewRotation(0, rotationServers, testEndpoint)
	l := newList(rotation.Entries())
	for i := range changesOfServer * rotationServers {
		l.change(rotation.Next())
		listed := listedServers(l)
		if listed < rotationServers-1 || listed > rotationServers {
			t.Fatalf("after %d changes %d servers are listed", i+1, listed)
		}
		if i%changesOfServer == changesOfServer-1 && listed != rotationServers {
			t.Fatalf("after all changes of a server %d servers are listed", listed)
		}
	}
}

// While the first zone is lost the others go on in turn; after its return all servers are listed, and have started
// anew.
func TestRotationWithoutAZone(t *testing.T) {
	const others = rotationServers - zoneServers
	rotation := NewRotation(0, rotationServers, testEndpoint)
	l := newList(rotation.Entries())
	for range changesOfServer * rotationServers {
		l.change(rotation.Next())
	}
	l.change(rotation.ChangeZone(false))
	for range changesOfServer * rotationServers {
		l.change(rotation.Next())
		if listed := listedServers(l); listed < others-1 || listed > others {
			t.Fatalf("%d servers are listed without a zone of %d", listed, zoneServers)
		}
	}
	l.change(rotation.ChangeZone(true))
	if listed := listedServers(l); listed != rotationServers {
		t.Fatalf("%d servers are listed after the return", listed)
	}
	for _, entry := range l.since(noVersion).Entries {
		if entry.BootMS == 0 {
			t.Errorf("%s has not started anew", entry.UID)
		}
	}
}
