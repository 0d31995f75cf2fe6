package sqcontrol

import (
	"strings"
	"testing"

	"gotest.tools/v3/golden"

	"sequoiadock/core/sqcommand"
)

func TestExplainOrder(t *testing.T) {
	role := &sqcommand.Order{
		Id: "order-2-1", Kind: sqcommand.OrderKind_ORDER_KIND_ROLE, Target: "engine1", Argument: "prefill", Sequence: 7,
		Reason: "Prompts wait.",
	}
	load := &sqcommand.Order{
		Id: "order-2-2", Kind: sqcommand.OrderKind_ORDER_KIND_LOAD_MODEL, Target: "engine2", Argument: "walks@4", Sequence: 8,
	}
	add := &sqcommand.Order{
		Id: "order-2-3", Kind: sqcommand.OrderKind_ORDER_KIND_ADD_ENDPOINT, Target: "zoneA/k2x", Argument: argumentSpot, Sequence: 9,
	}
	release := &sqcommand.Order{
		Id: "order-2-4", Kind: sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT, Target: "engine3", Argument: "release", Sequence: 10,
	}
	var lines []string
	for _, rec := range []*sqcommand.OrderRecord{
		{Order: role},
		{Order: load, Closed: true, Done: true, Note: "the engine confirmed it"},
		{Order: add, Closed: true, Done: true, Note: "the platform accepted it", Result: "engine9"},
		{Order: add, Closed: true, Note: "out of stock"},
		{Order: release},
	} {
		lines = append(lines, explainOrder(rec)...)
		lines = append(lines, "")
	}
	golden.Assert(t, strings.Join(lines, "\n"), "explain.golden")
}
