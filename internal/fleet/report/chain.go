package report

import (
	"basaltdrum/internal/fleet/load"
)

// Chain compares calls through nodes with calls that servers make to each other directly.
type Chain struct {
	Depth   int              `json:"depth"`
	Chains  int              `json:"chains"`
	Rate    float64          `json:"rate"` // calls per second at each node
	Direct  load.PathFigures `json:"direct"`
	Through load.PathFigures `json:"through"`
	// Differences between the quantiles of the two paths, in milliseconds: the latency added by all nodes of a chain.
	AddedP50  float64 `json:"added_p50_ms"`
	AddedP99  float64 `json:"added_p99_ms"`
	AddedP999 float64 `json:"added_p99_9_ms"`
}

// Compare sets the figures of both paths and the differences between their quantiles.
func (c *Chain) Compare(direct, through load.PathFigures) {
	c.Direct, c.Through = direct, through
	c.AddedP50 = through.Latency.P50 - direct.Latency.P50
	c.AddedP99 = through.Latency.P99 - direct.Latency.P99
	c.AddedP999 = through.Latency.P999 - direct.Latency.P999
}
