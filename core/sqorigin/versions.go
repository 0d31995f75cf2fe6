package sqorigin

import "time"

// Versions tracks which versions the endpoints of each service have had. It is not safe
// for concurrent use.
type Versions struct {
	// since is when the first list was recorded; listedAt holds when each version was last
	// listed.
	since    time.Time
	listedAt map[Origin]time.Time
}

// NewVersions returns a tracker that has seen no list.
func NewVersions() *Versions { return &Versions{listedAt: map[Origin]time.Time{}} }

// Record records the services and versions of a list of endpoints that was read now.
func (v *Versions) Record(now time.Time, list []Origin) {
	if v.since.IsZero() {
		v.since = now
	}
	for _, o := range list {
		v.listedAt[o] = now
	}
	for o, at := range v.listedAt {
		if now.Sub(at) > memory {
			delete(v.listedAt, o)
		}
	}
}

// Only returns where every stream of the service began that can be taken up now: its one
// version, if there was no other for as long as streams can be taken up.
func (v *Versions) Only(now time.Time, service string) (Origin, bool) {
	if v.since.IsZero() || now.Sub(v.since) < memory {
		return Origin{}, false
	}
	var only Origin
	n := 0
	for o := range v.listedAt {
		if o.Service == service {
			only = o
			n++
		}
	}
	return only, n == 1
}
