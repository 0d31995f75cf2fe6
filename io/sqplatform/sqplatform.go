// Package sqplatform is the client of the external APIs that the lease holder calls:
// the platform's list of VMs, endpoint orders and usage reports, and the engines'
// orders, status and load reports. docs/INTERFACES.md describes these APIs.
package sqplatform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"sequoiadock/core/sqerror"
)

// maxResponseBytes limits how much of a response is read.
const maxResponseBytes = 8 << 20

// VM is one VM in the platform's list.
type VM struct {
	ID             string `json:"id"`
	Zone           string `json:"zone"`
	Address        string `json:"address"`
	Kind           string `json:"kind"`
	Cheap          bool   `json:"cheap"`
	State          string `json:"state"`
	LeavesUnixNano int64  `json:"leavesUnixNano"`
	HonoursFencing bool   `json:"honoursFencing"`
}

// VMStateLeaving is the state of a VM that the platform is about to reclaim.
const VMStateLeaving = "leaving"

// VMList is the platform's list of VMs at the time AtUnixNano. The list may be
// outdated.
type VMList struct {
	AtUnixNano int64 `json:"atUnixNano"`
	VMs        []VM  `json:"vms"`
}

// FencingToken is sent with every order and report, so that the receiver can reject
// those of an earlier lease holder. Tokens are compared by term, then by sequence.
type FencingToken struct {
	Term     uint64 `json:"fencingTerm"`
	Sequence uint64 `json:"fencingSequence"`
}

// EndpointOrder adds or releases one endpoint.
type EndpointOrder struct {
	OrderID string `json:"orderId"`
	Action  string `json:"action"`
	Zone    string `json:"zone,omitempty"`
	Cheap   bool   `json:"cheap"`
	VM      string `json:"vm,omitempty"`
	FencingToken
}

// Actions of an EndpointOrder.
const (
	ActionAdd     = "add"
	ActionRelease = "release"
)

// EngineOrder changes an engine's role or loads a model.
type EngineOrder struct {
	OrderID  string `json:"orderId"`
	Kind     string `json:"kind"`
	Argument string `json:"argument"`
	FencingToken
}

// Kinds of an EngineOrder.
const (
	KindRole      = "role"
	KindLoadModel = "loadModel"
)

// UsageReport is the usage of one billing window.
type UsageReport struct {
	Window       uint64      `json:"window"`
	FromUnixNano int64       `json:"fromUnixNano"`
	ToUnixNano   int64       `json:"toUnixNano"`
	Lines        []UsageLine `json:"lines"`
	FencingToken
}

// UsageLine is the usage of one team, service and model.
type UsageLine struct {
	Team         string `json:"team"`
	Service      string `json:"service"`
	Model        string `json:"model"`
	PromptTokens uint64 `json:"promptTokens"`
	OutputTokens uint64 `json:"outputTokens"`
	Requests     uint64 `json:"requests"`
}

// EngineStatus is the status that an engine reports.
type EngineStatus struct {
	Endpoint       string   `json:"endpoint"`
	Role           string   `json:"role"`
	Changing       bool     `json:"changing"`
	Models         []string `json:"models"`
	HonoursFencing bool     `json:"honoursFencing"`
	LastOrder      string   `json:"lastOrder"`
}

// EngineLoad is an engine's load report. It describes the time AtUnixNano, which may
// be some time before the response.
type EngineLoad struct {
	AtUnixNano    int64  `json:"atUnixNano"`
	Running       uint32 `json:"running"`
	Queued        uint32 `json:"queued"`
	PrefillTokens uint64 `json:"prefillTokens"`
	DecodeTokens  uint64 `json:"decodeTokens"`
}

// OrderResponse is the response to an order or a usage report.
type OrderResponse struct {
	State string `json:"state"`
	VM    string `json:"vm"`
	Error string `json:"error"`
	// Status is the HTTP status code.
	Status int `json:"-"`
}

// Values of State and Error in an OrderResponse.
const (
	OrderStateDone       = "done"
	OrderStateRunning    = "running"
	OrderStateAccepted   = "accepted"
	OrderStateFailed     = "failed"
	OrderErrorFenced     = "fenced"
	OrderErrorOutOfStock = "outOfStock"
)

// FetchVMs reads the platform's list of VMs.
func FetchVMs(ctx context.Context, c *http.Client, address string) (VMList, error) {
	var l VMList
	return l, get(ctx, c, address, "/v1/vms", &l)
}

// FetchEngineStatus reads the status of the engine at address.
func FetchEngineStatus(ctx context.Context, c *http.Client, address string) (EngineStatus, error) {
	var s EngineStatus
	return s, get(ctx, c, address, "/v1/status", &s)
}

// FetchEngineLoad reads the load report of the engine at address.
func FetchEngineLoad(ctx context.Context, c *http.Client, address string) (EngineLoad, error) {
	var l EngineLoad
	return l, get(ctx, c, address, "/v1/load", &l)
}

// SendEndpointOrder sends an endpoint order to the platform.
func SendEndpointOrder(ctx context.Context, c *http.Client, address string, o EndpointOrder) (OrderResponse, error) {
	return post(ctx, c, address, "/v1/endpointOrders", o)
}

// SendEngineOrder sends an order to an engine.
func SendEngineOrder(ctx context.Context, c *http.Client, address string, o EngineOrder) (OrderResponse, error) {
	return post(ctx, c, address, "/v1/orders", o)
}

// ReportUsage sends the usage of a billing window to the platform.
func ReportUsage(ctx context.Context, c *http.Client, address string, r UsageReport) (OrderResponse, error) {
	return post(ctx, c, address, "/v1/usageReports", r)
}

func get(ctx context.Context, c *http.Client, address, path string, dst any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return unreachable(err)
	}
	res, err := c.Do(req)
	if err != nil {
		return unreachable(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return sqerror.New(sqerror.Config{Kind: sqerror.Refused, Detail: path + " answered " + strconv.Itoa(res.StatusCode)})
	}
	return decode(res.Body, dst)
}

// decode reads a whole body and decodes the JSON value at its beginning. The cause of its error
// is io.EOF if the body is empty, and another one than *json.SyntaxError if the body or the
// value in it broke off.
func decode(r io.Reader, dst any) error {
	body, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	switch {
	case err != nil:
	case len(body) > maxResponseBytes:
		err = bufio.ErrTooLong
	default:
		err = json.NewDecoder(bytes.NewReader(body)).Decode(dst)
	}
	if err != nil {
		return sqerror.New(sqerror.Config{Kind: sqerror.BadResponse, Execution: sqerror.MayHaveRun, Cause: err})
	}
	return nil
}

func post(ctx context.Context, c *http.Client, address, path string, body any) (OrderResponse, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return OrderResponse{}, sqerror.New(sqerror.Config{Kind: sqerror.BadRequest, Cause: err})
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return OrderResponse{}, unreachable(err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.Do(req)
	if err != nil {
		return OrderResponse{}, unreachable(err)
	}
	defer res.Body.Close()
	a := OrderResponse{Status: res.StatusCode}
	err = decode(res.Body, &a)
	if err == nil || res.StatusCode == http.StatusOK && isOtherText(err) {
		return a, nil
	}
	return OrderResponse{}, err
}

// isOtherText reports whether a body that could not be decoded is whole but empty or no JSON,
// as that of a response whose status says all.
func isOtherText(err error) bool {
	var syntax *json.SyntaxError
	return errors.Is(err, io.EOF) || errors.As(err, &syntax)
}

func unreachable(err error) error {
	if sqerror.KindOf(err) != sqerror.None {
		return err
	}
	return sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Cause: err})
}
