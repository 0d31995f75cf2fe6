package sqreplica

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqraft"
)

// Identity identifies a replica and its cluster.
type Identity struct {
	cfg identityConfig
}

type identityConfig struct {
	id         uint64
	cluster    string
	deployment string
	setupHash  uint64
	name       string
	zone       string
	address    string
}

// ID returns the random identity that the replica chose when its folder was empty.
func (i Identity) ID() uint64 { return i.cfg.id }

// Cluster returns the cluster's name from the bootstrap, or "" before it.
func (i Identity) Cluster() string { return i.cfg.cluster }

// Deployment returns the deployment's name from the bootstrap.
func (i Identity) Deployment() string { return i.cfg.deployment }

// Name returns the name in the settings.
func (i Identity) Name() string { return i.cfg.name }

// Zone returns the availability zone in the settings.
func (i Identity) Zone() string { return i.cfg.zone }

// Address returns the address in the settings.
func (i Identity) Address() string { return i.cfg.address }

func newIdentity(cfg Config, r *sqraft.IdentityRecord) Identity {
	return Identity{cfg: identityConfig{
		id: r.GetId(), cluster: r.GetCluster(), deployment: r.GetDeployment(), setupHash: r.GetFounding(),
		name: cfg.Name, zone: cfg.Zone, address: cfg.Address,
	}}
}

// randomID returns a random identity, never 0. The probability that two replicas
// draw the same one is 1 in 2^64.
func randomID() uint64 {
	for {
		var b [8]byte
		// Read never returns an error: the runtime ends the program instead.
		_, _ = rand.Read(b[:])
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}

// hashBootstrap returns a hash of all parameters of a bootstrap. A mistaken second
// bootstrap under the same cluster name has other members and so another hash, and
// its replicas and those of the first refuse each other's messages.
func hashBootstrap(cluster, deployment string, members []Member) uint64 {
	h := xxhash.New()
	hashString(h, cluster)
	hashString(h, deployment)
	for _, m := range members {
		hashString(h, strconv.FormatUint(m.ID(), 16))
		hashString(h, m.Name())
		hashString(h, m.Address())
		hashString(h, m.Zone())
	}
	return h.Sum64()
}

func sortedByID(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.ID(), b.ID()) })
	return sorted
}

// checkMembers returns an error when the first members are inconsistent or do not
// include ownID.
func checkMembers(ownID uint64, members []Member) error {
	ids, names, addresses := map[uint64]bool{}, map[string]bool{}, map[string]bool{}
	for _, m := range members {
		if m.ID() == 0 || m.Learner() {
			return badSetupError("every first member needs an identity and a vote")
		}
		if ids[m.ID()] || names[m.Name()] || addresses[m.Address()] {
			return badSetupError("two members share an identity, a name or an address")
		}
		ids[m.ID()], names[m.Name()], addresses[m.Address()] = true, true, true
	}
	if !ids[ownID] {
		return sqerror.New(sqerror.Config{
			Kind: sqerror.WrongCluster, Detail: "this replica is not among the members",
			Advice: "ask each replica for its identity and set up with those",
		})
	}
	return nil
}

func badSetupError(detail string) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.BadSetting, Detail: detail})
}
