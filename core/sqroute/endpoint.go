package sqroute

// Role says whether an engine runs prefill, decode or both.
type Role uint8

// Engine roles. Endpoints of plain services have RoleBoth.
const (
	RoleBoth Role = iota
	RolePrefill
	RoleDecode
)

// ParseRole parses the engines' name of a role. It returns false for an unknown
// name.
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

// String returns the engines' name of the role.
func (r Role) String() string {
	return [...]string{"both", "prefill", "decode"}[r]
}

// KindEngine is the kind of endpoints that run models.
const KindEngine = "engine"

// EndpointConfig holds the parts of an Endpoint.
type EndpointConfig struct {
	ID   string
	Zone string
	// Kind is KindEngine or the name of a plain service.
	Kind string
	// Models lists the loaded models, each as "name" or "name@version".
	Models []string
	Role   Role
	Spot   bool
	// Unschedulable is true for an endpoint that takes no new requests because
	// it is draining, leaving the fleet or changing its role.
	Unschedulable bool
}

// Endpoint is one back end as listed by the lease holder.
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

// Role returns the endpoint's role.
func (e *Endpoint) Role() Role { return e.cfg.Role }

// Spot returns whether the endpoint is a spot endpoint, which may be
// reclaimed on short notice.
func (e *Endpoint) Spot() bool { return e.cfg.Spot }

// Unschedulable returns whether the endpoint takes no new requests.
func (e *Endpoint) Unschedulable() bool { return e.cfg.Unschedulable }
