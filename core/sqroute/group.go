package sqroute

import (
	"slices"
	"strings"
)

// group holds the endpoints that can serve the same model or plain service.
type group struct {
	members []uint32
	// generations holds each member's node generation, in the order of members.
	generations []uint32
	byRole      [3][]uint32
	isMember    []bool
	// ring is the consistent-hash ring that assigns prefixes to members. All
	// entries build the same ring.
	ring []ringPoint
}

// group returns the endpoints that can serve a request, or nil if there are
// none.
func (f *Fleet) group(q *Query) *group {
	if q.isPlain() {
		return f.plainGroups[q.cfg.Kind]
	}
	return f.modelGroups[q.cfg.Model]
}

// rebuildGroups groups the endpoints by model and by plain service. An engine
// with "m@1" serves requests for "m" and for "m@1".
func (f *Fleet) rebuildGroups(endpoints []Endpoint) {
	oldGroups := f.modelGroups
	f.modelGroups = make(map[string]*group)
	f.plainGroups = make(map[string]*group)
	for i := range endpoints {
		e := &endpoints[i]
		index := f.indexByID[e.ID()]
		if e.Kind() != KindEngine {
			addMember(f.plainGroups, e.Kind(), index, RoleBoth)
			continue
		}
		for _, m := range e.cfg.Models {
			name, _, versioned := strings.Cut(m, "@")
			addMember(f.modelGroups, name, index, e.Role())
			if versioned {
				addMember(f.modelGroups, m, index, e.Role())
			}
		}
	}
	for name, g := range f.modelGroups {
		// Most fleet changes leave a model's engines unchanged.
		if oldGroup := oldGroups[name]; oldGroup != nil && f.sameMembers(oldGroup, g) {
			g.ring = oldGroup.ring
			continue
		}
		f.buildRing(g)
	}
}

// sameMembers returns whether two groups have the same engines at the same node
// indexes. An index that was reused for another engine has a new generation.
func (f *Fleet) sameMembers(a, b *group) bool {
	if !slices.Equal(a.members, b.members) {
		return false
	}
	b.generations = f.memberGenerations(b)
	return slices.Equal(a.generations, b.generations)
}

func (f *Fleet) memberGenerations(g *group) []uint32 {
	generations := make([]uint32, len(g.members))
	for i, index := range g.members {
		generations[i] = f.nodes[index].generation
	}
	return generations
}

func addMember(groups map[string]*group, name string, index uint32, role Role) {
	g, ok := groups[name]
	if !ok {
		g = &group{}
		groups[name] = g
	}
	if g.contains(index) {
		return
	}
	for int(index) >= len(g.isMember) {
		g.isMember = append(g.isMember, false)
	}
	g.isMember[index] = true
	g.members = append(g.members, index)
	g.byRole[role] = append(g.byRole[role], index)
}

func (g *group) contains(index uint32) bool {
	return int(index) < len(g.isMember) && g.isMember[index]
}
