package sqstate

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
)

// Snapshot returns a deep copy of the state. The order of every list is
// deterministic, so equal states give equal snapshots.
func (s *State) Snapshot() *sqcommand.State {
	out := &sqcommand.State{
		Version:               s.configVersion,
		Configuration:         proto.CloneOf(s.configuration),
		KeyRevision:           s.keys.revision,
		Orders:                s.Orders(),
		OrderSequence:         s.orders.lastSequence,
		OpenUsage:             s.usage.openLines(),
		OpenUsageFromUnixNano: s.usage.openStart,
		LastWindow:            s.usage.lastWindow,
		Windows:               s.UsageWindows(),
	}
	for _, id := range sortedKeys(s.keys.granted) {
		out.GrantedKeys = append(out.GrantedKeys, proto.CloneOf(s.keys.granted[id]))
	}
	for id, hash := range s.keys.withdrawn {
		out.WithdrawnKeys = append(out.WithdrawnKeys, &sqcommand.Key{Id: id, Sha256: hash})
	}
	sort.Slice(out.WithdrawnKeys, func(i, j int) bool { return out.WithdrawnKeys[i].GetId() < out.WithdrawnKeys[j].GetId() })
	for _, rec := range s.calls {
		out.Calls = append(out.Calls, proto.CloneOf(rec))
	}
	sortCalls(out.Calls)
	for _, id := range s.operations.ids {
		out.Operations = append(out.Operations, &sqcommand.OperationRecord{OperationId: id, Result: proto.CloneOf(s.operations.resultByID[id])})
	}
	for _, src := range s.usage.sources {
		out.UsageSources = append(out.UsageSources, proto.CloneOf(src))
	}
	sort.Slice(out.UsageSources, func(i, j int) bool { return out.UsageSources[i].GetRun() < out.UsageSources[j].GetRun() })
	for name := range s.draining {
		out.Draining = append(out.Draining, name)
	}
	sort.Strings(out.Draining)
	out.Entries = s.Entries()
	out.TableVersion, out.TableDocument = s.RoutingTable()
	out.CountWindows = s.CountWindows()
	out.FirstFleets = s.sortedFirstFleets()
	out.QuarantinedTraits = s.QuarantinedTraits()
	return out
}

// Restore replaces the state with a snapshot.
func (s *State) Restore(in *sqcommand.State) {
	s.reset()
	s.configVersion = in.GetVersion()
	if in.GetConfiguration() != nil {
		s.configuration = proto.CloneOf(in.GetConfiguration())
	}
	s.keys.revision = in.GetKeyRevision()
	for _, k := range in.GetGrantedKeys() {
		s.keys.granted[k.GetId()] = proto.CloneOf(k)
	}
	for _, k := range in.GetWithdrawnKeys() {
		s.keys.withdrawn[k.GetId()] = k.GetSha256()
	}
	for _, rec := range in.GetCalls() {
		s.calls[callKey(rec.GetCall().GetTeam(), rec.GetCall().GetIdentity())] = proto.CloneOf(rec)
	}
	s.restoreOrders(in)
	for _, op := range in.GetOperations() {
		s.operations.add(op.GetOperationId(), op.GetResult())
	}
	s.restoreUsage(in)
	for _, name := range in.GetDraining() {
		s.draining[name] = true
	}
	for _, name := range in.GetEntries() {
		s.entries[name] = true
	}
	s.restoreRoutingState(in)
}

func (s *State) restoreOrders(in *sqcommand.State) {
	s.orders.lastSequence = in.GetOrderSequence()
	for _, rec := range in.GetOrders() {
		if rec.GetClosed() {
			s.orders.closed = append(s.orders.closed, proto.CloneOf(rec))
			continue
		}
		s.orders.openByID[rec.GetOrder().GetId()] = proto.CloneOf(rec.GetOrder())
	}
}

func (s *State) restoreUsage(in *sqcommand.State) {
	s.usage.lastWindow = in.GetLastWindow()
	s.usage.openStart = in.GetOpenUsageFromUnixNano()
	for _, src := range in.GetUsageSources() {
		s.usage.sources[src.GetRun()] = proto.CloneOf(src)
	}
	for _, l := range in.GetOpenUsage() {
		s.usage.add(l)
	}
	for _, w := range in.GetWindows() {
		s.usage.windows = append(s.usage.windows, proto.CloneOf(w))
	}
}

// ApplyBytes decodes a command, applies it and returns the encoded result. A
// command that cannot be decoded gives a BadRequest result.
func (s *State) ApplyBytes(command []byte) []byte {
	var c sqcommand.Command
	res := errorResult(sqerror.BadRequest, "undecodable command")
	if proto.Unmarshal(command, &c) == nil {
		res = s.Apply(&c)
	}
	return Encode(res)
}

// Encode returns the deterministic encoding of a message. It returns nil only
// if a string field is not valid UTF-8, which cannot occur in a decoded
// command.
func Encode(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil
	}
	return b
}
