// Package sqstate is the replicated state machine. It applies the committed
// commands of the log one by one. The same commands in the same order must give
// the same state on every replica, so nothing here reads a clock, draws a
// random number or depends on map iteration order.
package sqstate

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
)

// Default limits on the records that the state retains.
const (
	// DefaultMaxOperations is the number of operation IDs kept to answer
	// resends.
	DefaultMaxOperations = 4096
	// DefaultMaxClosedOrders is the number of closed orders kept for the
	// explain command.
	DefaultMaxClosedOrders = 512
	// DefaultMaxUsageWindows is the number of billing windows above which the
	// oldest reported ones are dropped.
	DefaultMaxUsageWindows = 1024
	// DefaultMaxUsageSources is the number of entry process runs whose last
	// usage batch number is kept.
	DefaultMaxUsageSources = 4096
)

// Config limits what a State retains. All replicas of a deployment must use the
// same limits, or their states diverge.
type Config struct {
	// MaxOperations is the number of operation IDs kept; 0 means the default.
	MaxOperations int
	// MaxClosedOrders is the number of closed orders kept; 0 means the default.
	MaxClosedOrders int
	// MaxUsageWindows is the number of billing windows above which the oldest
	// reported ones are dropped; 0 means the default.
	MaxUsageWindows int
	// MaxUsageSources is the number of usage sources kept; 0 means the default.
	MaxUsageSources int
}

// State is the replicated state of a deployment. It is not safe for concurrent
// use.
type State struct {
	limits        Config
	configVersion uint64
	configuration *sqcommand.Configuration
	keys          keyTable
	calls         map[string]*sqcommand.CallRecord
	orders        orderTable
	operations    operationTable
	usage         usageTable
	draining      map[string]bool
	entries       map[string]bool
	// tableVersion and tableDocument hold the current routing table.
	tableVersion  uint64
	tableDocument []byte
	// countWindows is sorted by window number, ascending.
	countWindows []*sqcommand.CountWindow
	// initialEndpoints maps each service to the number of endpoints it had
	// before any were ordered.
	initialEndpoints map[string]uint32
	// quarantined is sorted by the end of the term, ascending.
	quarantined []*sqcommand.QuarantinedTrait
}

// New returns the empty state of a new deployment.
func New(cfg Config) *State {
	s := &State{limits: withDefaults(cfg)}
	s.reset()
	return s
}

func withDefaults(cfg Config) Config {
	if cfg.MaxOperations == 0 {
		cfg.MaxOperations = DefaultMaxOperations
	}
	if cfg.MaxClosedOrders == 0 {
		cfg.MaxClosedOrders = DefaultMaxClosedOrders
	}
	if cfg.MaxUsageWindows == 0 {
		cfg.MaxUsageWindows = DefaultMaxUsageWindows
	}
	if cfg.MaxUsageSources == 0 {
		cfg.MaxUsageSources = DefaultMaxUsageSources
	}
	return cfg
}

func (s *State) reset() {
	s.configVersion = 0
	s.configuration = &sqcommand.Configuration{}
	s.keys = newKeyTable()
	s.calls = make(map[string]*sqcommand.CallRecord)
	s.orders = newOrderTable(s.limits.MaxClosedOrders)
	s.operations = newOperationTable(s.limits.MaxOperations)
	s.usage = newUsageTable(s.limits.MaxUsageWindows, s.limits.MaxUsageSources)
	s.draining = make(map[string]bool)
	s.entries = make(map[string]bool)
	s.tableVersion, s.tableDocument, s.countWindows = 0, nil, nil
	s.initialEndpoints, s.quarantined = map[string]uint32{}, nil
}

// Version returns the version of the current configuration, or 0 if none has
// been published.
func (s *State) Version() uint64 { return s.configVersion }

// Configuration returns the current configuration. The caller must not modify
// it.
func (s *State) Configuration() *sqcommand.Configuration { return s.configuration }

// IsDraining reports whether an operator has marked the endpoint as draining.
func (s *State) IsDraining(endpoint string) bool { return s.draining[endpoint] }

// Apply applies one command and returns its result. If a command with the same
// operation ID was already applied, Apply changes nothing and returns the
// result of that first command.
func (s *State) Apply(c *sqcommand.Command) *sqcommand.Result {
	id := c.GetOperationId()
	if previous := s.operations.find(id); previous != nil {
		return previous
	}
	res := s.apply(c)
	s.operations.add(id, res)
	return res
}

func (s *State) apply(c *sqcommand.Command) *sqcommand.Result {
	switch b := c.GetBody().(type) {
	case *sqcommand.Command_Publish:
		return s.publish(c.GetAtUnixNano(), b.Publish)
	case *sqcommand.Command_GrantKey:
		return s.grantKey(b.GrantKey.GetKey())
	case *sqcommand.Command_WithdrawKey:
		return s.withdrawKey(b.WithdrawKey.GetKeyId())
	case *sqcommand.Command_BeginCalls:
		return s.beginCalls(c.GetAtUnixNano(), b.BeginCalls)
	case *sqcommand.Command_FinishCalls:
		return s.finishCalls(c.GetAtUnixNano(), b.FinishCalls)
	case *sqcommand.Command_SettleCall:
		return s.settleCall(c.GetAtUnixNano(), b.SettleCall)
	case *sqcommand.Command_TrimCalls:
		return s.trimCalls(b.TrimCalls)
	case *sqcommand.Command_OpenOrder:
		return s.orders.open(b.OpenOrder.GetOrder())
	case *sqcommand.Command_CloseOrder:
		return s.orders.close(b.CloseOrder)
	case *sqcommand.Command_RecordUsage:
		return s.usage.record(c.GetAtUnixNano(), b.RecordUsage.GetBatch())
	case *sqcommand.Command_FreezeWindow:
		return s.usage.freeze(b.FreezeWindow)
	case *sqcommand.Command_MarkReported:
		return s.usage.markReported(b.MarkReported.GetWindow())
	case *sqcommand.Command_SetDrain:
		return s.setDrain(b.SetDrain)
	case *sqcommand.Command_SeeEntry:
		return s.seeEntry(b.SeeEntry)
	case *sqcommand.Command_Declare:
		return s.declare(b.Declare)
	case *sqcommand.Command_FreezeCounts:
		return s.freezeCounts(b.FreezeCounts)
	case *sqcommand.Command_MarkCounts:
		return s.markCounts(b.MarkCounts)
	case *sqcommand.Command_FixFirstFleet:
		return s.fixFirstFleet(b.FixFirstFleet.GetFleet())
	case *sqcommand.Command_SetQuarantine:
		return s.setQuarantine(b.SetQuarantine)
	default:
		// A newer version may write commands that this version does not know.
		// All replicas of one version ignore such a command alike, and the
		// result tells the caller that it had no effect.
		return errorResult(sqerror.BadRequest, "unknown command")
	}
}

func (s *State) setDrain(d *sqcommand.SetDrain) *sqcommand.Result {
	if d.GetDraining() {
		s.draining[d.GetEndpoint()] = true
	} else {
		delete(s.draining, d.GetEndpoint())
	}
	return &sqcommand.Result{Version: s.configVersion}
}

// Entries returns the names of the entries that may hold a freshness lease,
// sorted.
func (s *State) Entries() []string {
	names := make([]string, 0, len(s.entries))
	for name := range s.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// HasEntry reports whether the entry may hold a freshness lease.
func (s *State) HasEntry(name string) bool { return s.entries[name] }

// seeEntry records whether the entry may hold a freshness lease.
func (s *State) seeEntry(e *sqcommand.SeeEntry) *sqcommand.Result {
	if e.GetGone() {
		delete(s.entries, e.GetEntry())
	} else {
		s.entries[e.GetEntry()] = true
	}
	return &sqcommand.Result{Version: s.configVersion}
}

func errorResult(k sqerror.Kind, detail string) *sqcommand.Result {
	return &sqcommand.Result{Error: uint32(k), Detail: detail}
}

// ResultError returns the error that a result carries, or nil.
func ResultError(res *sqcommand.Result) error {
	if res.GetError() == 0 {
		return nil
	}
	return sqerror.New(sqerror.Config{Kind: sqerror.Kind(res.GetError()), Detail: res.GetDetail()})
}

// operationTable keeps the results of the latest operations and evicts the
// oldest first. A resend that arrives after maxOperations other operations is
// treated as a new command; version checks (compare-and-set) and batch numbers
// still prevent a second effect.
type operationTable struct {
	maxOperations int
	resultByID    map[string]*sqcommand.Result
	// ids holds the keys of resultByID, oldest first.
	ids []string
}

func newOperationTable(maxOperations int) operationTable {
	return operationTable{maxOperations: maxOperations, resultByID: make(map[string]*sqcommand.Result)}
}

func (t *operationTable) find(id string) *sqcommand.Result {
	if id == "" {
		return nil
	}
	return t.resultByID[id]
}

func (t *operationTable) add(id string, res *sqcommand.Result) {
	if id == "" {
		return
	}
	t.resultByID[id] = proto.CloneOf(res)
	t.ids = append(t.ids, id)
	if len(t.ids) <= t.maxOperations {
		return
	}
	delete(t.resultByID, t.ids[0])
	t.ids = t.ids[1:]
}
