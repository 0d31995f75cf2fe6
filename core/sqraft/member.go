package sqraft

// MemberConfig describes a Member.
type MemberConfig struct {
	// ID is the random identity that the replica chose when its data folder was
	// empty.
	ID      uint64
	Name    string
	Address string
	Zone    string
	// Learner members receive the log but have no vote.
	Learner bool
}

// Member is one replica of the membership.
type Member struct {
	cfg MemberConfig
}

// NewMember returns the member that cfg describes.
func NewMember(cfg MemberConfig) Member { return Member{cfg: cfg} }

// ID returns the random identity of the replica.
func (m Member) ID() uint64 { return m.cfg.ID }

// Name returns the name that operators gave the replica.
func (m Member) Name() string { return m.cfg.Name }

// Address returns the IP address and port of the replica.
func (m Member) Address() string { return m.cfg.Address }

// Zone returns the availability zone of the replica.
func (m Member) Zone() string { return m.cfg.Zone }

// Learner reports whether the member has no vote.
func (m Member) Learner() bool { return m.cfg.Learner }
