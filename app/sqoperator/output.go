package sqoperator

import (
	"encoding/json"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqrpc"
)

// printJSON writes one value as indented JSON.
func (c *invocation) printJSON(v any) error {
	e := json.NewEncoder(c.stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return sqerror.New(sqerror.Config{Kind: sqerror.OutputFailed, Cause: err})
	}
	return nil
}

// printProtoJSON writes a protobuf message as JSON. 64-bit integers are strings,
// because many JSON decoders would round them.
func (c *invocation) printProtoJSON(m proto.Message) error {
	raw, err := protoJSON(m)
	if err != nil {
		return err
	}
	return c.printJSON(raw)
}

func protoJSON(m proto.Message) (json.RawMessage, error) {
	data, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.OutputFailed, Cause: err})
	}
	return data, nil
}

// printStatusJSON writes one JSON object for each address; its status is null if
// the process did not respond.
func (c *invocation) printStatusJSON(addresses []string, statuses []*sqrpc.StatusResponse) error {
	type controlStatus struct {
		Address string          `json:"address"`
		Status  json.RawMessage `json:"status"`
	}
	var out struct {
		Controls []controlStatus `json:"controls"`
	}
	for i, s := range statuses {
		raw := json.RawMessage("null")
		if s != nil {
			var err error
			if raw, err = protoJSON(s); err != nil {
				return err
			}
		}
		out.Controls = append(out.Controls, controlStatus{Address: addresses[i], Status: raw})
	}
	return c.printJSON(out)
}

var orderKindNames = map[sqcommand.OrderKind]string{
	sqcommand.OrderKind_ORDER_KIND_ROLE:             "role",
	sqcommand.OrderKind_ORDER_KIND_LOAD_MODEL:       "loadModel",
	sqcommand.OrderKind_ORDER_KIND_ADD_ENDPOINT:     "addEndpoint",
	sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT: "releaseEndpoint",
	sqcommand.OrderKind_ORDER_KIND_USAGE_REPORT:     "usageReport",
}

func orderKindName(k sqcommand.OrderKind) string {
	if name, ok := orderKindNames[k]; ok {
		return name
	}
	return strings.ToLower(k.String())
}
