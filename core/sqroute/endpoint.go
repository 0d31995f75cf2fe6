package sqroute

// Role is the part of the work that an engine does.
type Role uint8

// Roles of engines. Plain services are RoleBoth.
const (
	RoleBoth Role = iota
	RolePrefill
	RoleDecode
)

// ParseRole returns the role of the engine's word for it; false means that the
// word is unknown.
func ParseRole(s string) (Role, bool) {
	switch s {
	case "both", "":
		return RoleBoth, true
	case "prefill":
		return RolePrefill, true
	case "decode":
		return RoleDecode, true
	default:
		return RoleBoth, false
	}
}

// String returns the engine's word for the role.
func (r Role) String() string {
	return [...]string{"both", "prefill", "decode"}[r]
}

// KindEngine is the kind of the endpoints that run models.
const KindEngine = "engine"

// EndpointConfig holds the parts of an Endpoint.
type EndpointConfig struct {
	ID   string
	Zone string
	// Kind is KindEngine or the name of a plain service.
	Kind string
	// Models are "name" or "name@version".
	Models []string
	Role   Role
	Cheap  bool
	// Unschedulable is true for an endpoint that takes no new work: it drains, leaves
	// or changes its role.
	Unschedulable bool
}

// Endpoint is what the holder says of one back end.
type Endpoint struct {
	cfg EndpointConfig
}

// NewEndpoint returns the endpoint that cfg describes.
func NewEndpoint(cfg EndpointConfig) Endpoint { return Endpoint{cfg: cfg} }

// ID returns the endpoint's identity.
func (e *Endpoint) ID() string { return e.cfg.ID }

// Zone returns the availability zone.
func (e *Endpoint) Zone() string { return e.cfg.Zone }

// Kind returns KindEngine or the name of a plain service.
func (e *Endpoint) Kind() string { return e.cfg.Kind }

// Role returns the part of the work that it does.
func (e *Endpoint) Role() Role { return e.cfg.Role }

// Cheap returns whether it may be reclaimed on short notice.
func (e *Endpoint) Cheap() bool { return e.cfg.Cheap }

// Unschedulable returns whether it takes no new work.
func (e *Endpoint) Unschedulable() bool { return e.cfg.Unschedulable }
