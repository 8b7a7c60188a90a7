package report

// Figures returns the figures of a point for which a sweep fits slopes, by name.
func (p Point) Figures() map[string]float64 {
	figures := map[string]float64{
		"node bytes in/s": p.PerNode.BytesIn, "node bytes out/s": p.PerNode.BytesOut,
		"registry connections": float64(p.Registry.OpenConnections), "registry calls/s": p.Registry.Calls,
		"registry bytes out/s": p.Registry.BytesOut, "registry bytes in/s": p.Registry.BytesIn,
		"registry cores": p.Registry.CoresInUse,
	}
	if p.Hollow != nil {
		figures["hollow cores a node"] = p.Hollow.CoresPerNode
		figures["hollow heap bytes a node"] = p.Hollow.HeapPerNode
		figures["hollow heap bytes a node at the end"] = p.Hollow.HeapPerNodeAtEnd
	}
	if p.Real != nil {
		figures["real cores a node"] = p.Real.CoresMean
		figures["real RSS bytes a node"] = p.Real.RSSMean
	}
	return figures
}
