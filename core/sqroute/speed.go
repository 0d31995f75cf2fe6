package sqroute

// Throughput returns the average learned speed of one engine of a model, in
// tokens per second: prompt tokens of a prefill engine, and output tokens of an
// engine that decodes a full batch and does nothing else. Both are 0 if the
// model has no engine.
func (f *Fleet) Throughput(model string) (prefill, decode float64) {
	g := f.modelGroups[model]
	if g == nil {
		return 0, 0
	}
	var prefillSum, decodeSum float64
	for _, index := range g.members {
		n := &f.nodes[index]
		role := n.endpoint.Role()
		prefillSum += n.prefillRate / prefillFactorByRole[role] * prefillFactorByRole[RolePrefill]
		decodeSum += n.slots / (n.stepTime * batchSlowdown(n.slots))
	}
	count := float64(len(g.members))
	return prefillSum / count, decodeSum / count
}
