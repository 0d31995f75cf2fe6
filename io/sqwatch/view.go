package sqwatch

import (
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqkey"
	"sequoiadock/io/sqrpc"
)

// View is a snapshot of the deployment as the entry knows it. It is immutable after
// publication, so it is safe for concurrent use.
type View struct {
	holder        string
	version       uint64
	configuration *sqcommand.Configuration
	keyRevision   uint64
	keys          *sqkey.Table
	fleetRevision uint64
	endpoints     []*sqrpc.EndpointView
	entries       []*sqrpc.EntryView
	entriesHash   uint64
	shares        []*sqrpc.TeamShare
	sharesHash    uint64
	lastAnswer    uint64
	otherLoads    []*sqrpc.EndpointLoad
	otherWork     *sqrpc.Readings
	readings      *sqrpc.Readings
	readingsUntil uint64
	freshUntil    time.Time
	epoch         uint64
}

// Holder returns the address of the control process that answered last.
func (v *View) Holder() string { return v.holder }

// Version returns the version of the configuration, or 0 if there is none yet.
func (v *View) Version() uint64 { return v.version }

// Configuration returns the configuration in force, or nil.
func (v *View) Configuration() *sqcommand.Configuration { return v.configuration }

// KeyRevision returns the revision of the set of API keys.
func (v *View) KeyRevision() uint64 { return v.keyRevision }

// Keys returns the API keys in force.
func (v *View) Keys() *sqkey.Table { return v.keys }

// FleetRevision returns the revision of the set of endpoints. Revisions of
// different lease holders differ too.
func (v *View) FleetRevision() uint64 { return v.fleetRevision }

// Endpoints returns the endpoints that the lease holder listed.
func (v *View) Endpoints() []*sqrpc.EndpointView { return v.endpoints }

// Entries returns all entries, including this one.
func (v *View) Entries() []*sqrpc.EntryView { return v.entries }

// Shares returns the parts of the teams' limits that this entry may use.
func (v *View) Shares() []*sqrpc.TeamShare { return v.shares }

// OtherLoads returns the in-flight work of the other entries at each endpoint.
func (v *View) OtherLoads() []*sqrpc.EndpointLoad { return v.otherLoads }

// OtherWork returns the in-flight work of the other entries at the endpoints for
// which Readings brought no recent report, by index in Endpoints. It is nil if
// there is none.
func (v *View) OtherWork() *sqrpc.Readings { return v.otherWork }

// Readings returns the load reports of endpoints that other entries read and the
// last response contained, by index in Endpoints. It is nil if there were none.
func (v *View) Readings() *sqrpc.Readings { return v.readings }

// FreshUntil returns the end of the freshness lease on sqclock's clock. It is zero
// before the first response.
func (v *View) FreshUntil() time.Time { return v.freshUntil }

// Epoch returns the number of the current period of uninterrupted freshness. It
// increases when the lease expires before it is renewed: the holder may then have
// closed the entry's running calls as unknown, and permissions of earlier epochs
// are void.
func (v *View) Epoch() uint64 { return v.epoch }

// Fresh reports whether the freshness lease holds at now.
func (v *View) Fresh(now time.Time) bool { return now.Before(v.freshUntil) }

// isNewerThan reports whether the view is newer than a response. Versions grow only
// with committed changes, so an older response comes from a holder without these
// changes.
func (v *View) isNewerThan(resp *sqrpc.WatchResponse) bool {
	return resp.GetVersion() < v.version || resp.GetKeyRevision() < v.keyRevision
}

// lacksConfiguration reports whether a response names a newer version but does not
// contain its configuration.
func (v *View) lacksConfiguration(resp *sqrpc.WatchResponse) bool {
	return resp.GetVersion() > v.version && resp.GetConfiguration() == nil
}

// apply returns the view after resp, which was received at now for a request sent
// at sent. The lease counts from sent and lasts at most maxLease.
func (v *View) apply(resp *sqrpc.WatchResponse, holder string, sent, now time.Time, maxLease time.Duration) *View {
	updated := *v
	if !v.Fresh(now) {
		updated.epoch++
	}
	// Fleet revisions also differ between holders. A new holder that has not read the
	// platform's list yet answers with the revision that the entry already has.
	if resp.GetFleetRevision() != v.fleetRevision {
		updated.endpoints = resp.GetEndpoints()
		updated.fleetRevision = resp.GetFleetRevision()
	}
	updated.holder = holder
	if resp.GetVersion() > v.version {
		updated.version = resp.GetVersion()
		updated.configuration = resp.GetConfiguration()
	}
	if resp.GetKeyRevision() > v.keyRevision {
		updated.keyRevision = resp.GetKeyRevision()
		updated.keys = keyTable(resp.GetKeys())
	}
	if resp.GetEntriesHash() != v.entriesHash {
		updated.entries, updated.entriesHash = resp.GetEntries(), resp.GetEntriesHash()
	}
	if resp.GetSharesHash() != v.sharesHash {
		updated.shares, updated.sharesHash = resp.GetShares(), resp.GetSharesHash()
	}
	updated.lastAnswer = resp.GetAnswer()
	updated.otherLoads = resp.GetOtherLoads()
	updated.otherWork = resp.GetOtherWork()
	updated.readings, updated.readingsUntil = resp.GetReadings(), resp.GetReadingsUntil()
	lease := min(maxLease, time.Duration(resp.GetFreshMillis())*time.Millisecond)
	if until := sent.Add(lease); until.After(v.freshUntil) {
		updated.freshUntil = until
	}
	return &updated
}

func keyTable(keys []*sqcommand.Key) *sqkey.Table {
	grants := make([]sqkey.Grant, 0, len(keys))
	for _, k := range keys {
		var h sqkey.Hash
		if copy(h[:], k.GetSha256()) != len(h) || len(k.GetSha256()) != len(h) {
			continue
		}
		grants = append(grants, sqkey.Grant{ID: k.GetId(), Team: k.GetTeam(), Hash: h})
	}
	return sqkey.New(sqkey.Config{Grants: grants})
}
