package report

// Figures returns those of a point's figures that a sweep fits.
func (p Point) Figures() map[string]float64 {
	f := map[string]float64{
		"node bytes in/s": p.PerNode.BytesIn, "node bytes out/s": p.PerNode.BytesOut,
		"registry connections": float64(p.Registry.OpenConnections), "registry calls/s": p.Registry.Calls,
		"registry bytes out/s": p.Registry.BytesOut, "registry bytes in/s": p.Registry.BytesIn,
		"registry cores": p.Registry.Cores,
	}
	if p.Hollow != nil {
		f["hollow cores a node"] = p.Hollow.CoresPerNode
		f["hollow heap bytes a node"] = p.Hollow.HeapPerNode
		f["hollow heap bytes a node at the end"] = p.Hollow.HeapPerNodeAtEnd
	}
	if p.Real != nil {
		f["real cores a node"] = p.Real.CoresMean
		f["real RSS bytes a node"] = p.Real.RSSMean
	}
	return f
}
