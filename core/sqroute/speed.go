package sqroute

// Throughput returns what one engine of a model was seen to do when it does nothing
// else, in tokens a second: prompt tokens, and output tokens of a full batch.
// It is 0 when there is no engine.
func (f *Fleet) Throughput(model string) (prefill, decode float64) {
	g := f.models[model]
	if g == nil {
		return 0, 0
	}
	var prefills, decodes float64
	for _, number := range g.members {
		n := &f.nodes[number]
		role := n.endpoint.Role()
		prefills += n.prefillRate / roleSpeed[role] * roleSpeed[RolePrefill]
		decodes += n.slots / (n.stepTime * crowding(n.slots))
	}
	members := float64(len(g.members))
	return prefills / members, decodes / members
}
