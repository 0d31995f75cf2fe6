package sqevent

// Events 2000 to 2999: consensus replicas.
var (
	ReplicaOpened          = Event{2001, Info, "replica opened its data folder", []string{"id", "cluster", "lastIndex"}}
	ReplicaIdentityCreated = Event{2002, Info, "replica created a new identity in an empty data folder", []string{"id"}}
	ReplicaTornRecord      = Event{2003, Warn, "incomplete last log record dropped", []string{"bytes"}}
	ReplicaBootstrapped    = Event{2004, Info, "replica set up", []string{"cluster", "deployment", "members"}}
	ReplicaJoined          = Event{2005, Info, "replica joined a cluster", []string{"cluster", "from"}}
	ReplicaRole            = Event{2006, Info, "replica changed its role", []string{"role", "term", "leader"}}
	ReplicaMembers         = Event{2007, Info, "membership changed", []string{"members"}}
	ReplicaSnapshot        = Event{2008, Debug, "snapshot synced", []string{"index", "bytes"}}
	ReplicaInstalled       = Event{2009, Info, "snapshot of the leader installed", []string{"index", "bytes"}}
	ReplicaRefused         = Event{2010, Warn, "message of another cluster refused", []string{"from", "error"}}
	ReplicaFailed          = Event{2011, Error, "replica stopped", []string{"error"}}
	ReplicaTransferStarted = Event{2013, Info, "replica gave up its lease and transfers leadership", []string{"term"}}
	ReplicaTransferFailed  = Event{2014, Warn, "holder stops without a leadership transfer", []string{"error"}}
	ReplicaUnreachable     = Event{2012, Warn, "replica cannot be reached", []string{"name", "address", "error"}}
)

var replicaEvents = []Event{
	ReplicaOpened, ReplicaIdentityCreated, ReplicaTornRecord, ReplicaBootstrapped, ReplicaJoined, ReplicaRole,
	ReplicaMembers, ReplicaSnapshot, ReplicaInstalled, ReplicaRefused, ReplicaFailed, ReplicaUnreachable,
	ReplicaTransferStarted, ReplicaTransferFailed,
}
