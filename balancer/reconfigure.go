// Reconfiguration while running: which promises stay, and which observations still hold under new settings.

package balancer

import (
	"slices"

	"basaltdrum/balancer/internal/endpoints"
	"basaltdrum/balancer/internal/slowstart"
)

// applySettings puts settings in force.
func (b *Balancer) applySettings(settings Settings) {
	b.settings = settings
	b.classes = newClassTable(settings.Classes, b.classes)
	b.priorities = b.classes.priorities(&settings)
	b.endpoints.Configure(endpoints.Placement{
		Zone: settings.Zone, ZoneCount: settings.ZoneCount,
		Replicas: settings.Replicas, Index: settings.ReplicaIndex,
	})
	b.slowStart.Configure(slowstart.Settings{
		Floor: settings.SlowStartFloor, Duration: settings.SlowStartDuration, Replicas: settings.Replicas,
		OverloadMultiple: settings.OverloadMultiple, OverloadWindow: settings.OverloadWindow,
	})
}

// reconfigure replaces the settings by new ones. Requests keep the class that they were accepted with, so
// what their clients were promised stays; the endpoints' health, slow start and counts do not depend on
// settings. The subset is made anew only if this replica's position among the replicas has changed, and the
// requests in the queue are looked at again.
func (b *Balancer) reconfigure(settings Settings) {
	if settings.Validate() != nil {
		return
	}
	settings.PollDiscovery = b.settings.PollDiscovery // the host subscribes, or not, as long as it runs
	b.applySettings(settings)
	b.forgetRemovedClasses()
	for _, req := range slices.Clone(b.queue) {
		b.enqueue(req)
	}
	b.dispatchQueued()
}

// forgetRemovedClasses drops the endpoints' failure rates of classes that the settings no longer have. An
// attempt that is still in flight may bring one back.
func (b *Balancer) forgetRemovedClasses() {
	for ep := range b.endpoints.Known() {
		ep.Health.Forget(b.classes.hasRate)
	}
}
