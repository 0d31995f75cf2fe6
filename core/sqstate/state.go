// Package sqstate is the replicated state machine: it applies the committed
// commands of the log one by one. Equal commands in equal order give equal
// state on every replica, so nothing here reads a clock, draws a random number
// or depends on the order of a map.
package sqstate

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
)

// Bounds on what the state keeps.
const (
	// DefaultMaxOperations is how many operation identities are remembered.
	DefaultMaxOperations = 4096
	// DefaultMaxClosedOrders is how many closed orders are kept for explain.
	DefaultMaxClosedOrders = 512
	// DefaultMaxUsageWindows is how many reported billing windows are kept.
	DefaultMaxUsageWindows = 1024
	// DefaultMaxUsageSources is how many entry runs are kept for counting batches.
	DefaultMaxUsageSources = 4096
)

// Config bounds a State. Every replica of a deployment must use equal bounds.
type Config struct {
	// MaxOperations is the number of operation identities kept; 0 is the default.
	MaxOperations int
	// MaxClosedOrders is the number of closed orders kept; 0 is the default.
	MaxClosedOrders int
	// MaxUsageWindows is the number of reported windows kept; 0 is the default.
	MaxUsageWindows int
	// MaxUsageSources is the number of usage sources kept; 0 is the default.
	MaxUsageSources int
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	cfg        Config
	version    uint64
	config     *sqcommand.Configuration
	keys       keyTable
	calls      map[string]*sqcommand.CallRecord
	orders     orderTable
	operations operationTable
	usage      usageTable
	draining   map[string]bool
	entries    map[string]bool
	// tableVersion and tableDocument are the routing table in force.
	tableVersion  uint64
	tableDocument []byte
	// countWindows are in rising order of number.
	countWindows []*sqcommand.CountWindow
	// firstFleets has, by service, how many endpoints there were before any orders.
	firstFleets map[string]uint32
}

// New returns the empty state of a new deployment.
func New(cfg Config) *State {
	s := &State{cfg: withDefaults(cfg)}
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
	s.version = 0
	s.config = &sqcommand.Configuration{}
	s.keys = newKeyTable()
	s.calls = make(map[string]*sqcommand.CallRecord)
	s.orders = newOrderTable(s.cfg.MaxClosedOrders)
	s.operations = newOperationTable(s.cfg.MaxOperations)
	s.usage = newUsageTable(s.cfg.MaxUsageWindows, s.cfg.MaxUsageSources)
	s.draining = make(map[string]bool)
	s.entries = make(map[string]bool)
	s.tableVersion, s.tableDocument, s.countWindows = 0, nil, nil
	s.firstFleets = map[string]uint32{}
}

// Version returns the number of the configuration in force, 0 for none.
func (s *State) Version() uint64 { return s.version }

// Configuration returns the configuration in force. It must not be changed.
func (s *State) Configuration() *sqcommand.Configuration { return s.config }

// IsDraining returns whether the operator drains the endpoint.
func (s *State) IsDraining(endpoint string) bool { return s.draining[endpoint] }

// Apply applies one command and returns its answer. A command whose operation
// identity was applied before changes nothing and gets the first answer again.
func (s *State) Apply(c *sqcommand.Command) *sqcommand.Result {
	id := c.GetOperationId()
	if first := s.operations.find(id); first != nil {
		return first
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
	default:
		// A newer version may write commands that this one does not know. All
		// replicas of one version agree, but the answer says that it did nothing.
		return failure(sqerror.BadRequest, "unknown command")
	}
}

func (s *State) setDrain(d *sqcommand.SetDrain) *sqcommand.Result {
	if d.GetDraining() {
		s.draining[d.GetEndpoint()] = true
	} else {
		delete(s.draining, d.GetEndpoint())
	}
	return &sqcommand.Result{Version: s.version}
}

// Entries returns the entries that may hold a freshness lease.
func (s *State) Entries() []string {
	names := make([]string, 0, len(s.entries))
	for name := range s.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// HasEntry returns whether the entry is among Entries.
func (s *State) HasEntry(name string) bool { return s.entries[name] }

func (s *State) seeEntry(e *sqcommand.SeeEntry) *sqcommand.Result {
	if e.GetGone() {
		delete(s.entries, e.GetEntry())
	} else {
		s.entries[e.GetEntry()] = true
	}
	return &sqcommand.Result{Version: s.version}
}

func failure(k sqerror.Kind, detail string) *sqcommand.Result {
	return &sqcommand.Result{Error: uint32(k), Detail: detail}
}

// ResultError returns the error that a result carries, or nil.
func ResultError(res *sqcommand.Result) error {
	if res.GetError() == 0 {
		return nil
	}
	return sqerror.New(sqerror.Config{Kind: sqerror.Kind(res.GetError()), Detail: res.GetDetail()})
}

// operationTable keeps the answers of the latest operations, first in, first
// out. A resend that comes after more than the bound of other operations is
// treated as new; compare-and-set and the numbers of batches still keep it
// from taking effect twice.
type operationTable struct {
	max    int
	first  map[string]*sqcommand.Result
	oldest []string
}

func newOperationTable(n int) operationTable {
	return operationTable{max: n, first: make(map[string]*sqcommand.Result)}
}

func (t *operationTable) find(id string) *sqcommand.Result {
	if id == "" {
		return nil
	}
	return t.first[id]
}

func (t *operationTable) add(id string, res *sqcommand.Result) {
	if id == "" {
		return
	}
	t.first[id] = proto.CloneOf(res)
	t.oldest = append(t.oldest, id)
	if len(t.oldest) <= t.max {
		return
	}
	delete(t.first, t.oldest[0])
	t.oldest = t.oldest[1:]
}
