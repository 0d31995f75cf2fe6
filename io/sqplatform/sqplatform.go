// Package sqplatform speaks the outside interfaces that the holder uses: the
// platform's list of VMs, its endpoint orders and usage reports, and the orders
// and status of engines. docs/INTERFACES.md describes them.
package sqplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"sequoiadock/core/sqerror"
)

// maxAnswerBytes bounds what is read of any answer.
const maxAnswerBytes = 8 << 20

// VM is one row of the platform's list.
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

// StateLeaving is the state of a VM that the platform is about to take.
const StateLeaving = "leaving"

// List is the platform's list of VMs, as old as the platform makes it.
type List struct {
	AtUnixNano int64 `json:"atUnixNano"`
	VMs        []VM  `json:"vms"`
}

// Fencing is the number that goes with every order.
type Fencing struct {
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
	Fencing
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
	Fencing
}

// Kinds of an EngineOrder.
const (
	KindRole      = "role"
	KindLoadModel = "loadModel"
)

// UsageReport is one billing window's figures.
type UsageReport struct {
	Window       uint64      `json:"window"`
	FromUnixNano int64       `json:"fromUnixNano"`
	ToUnixNano   int64       `json:"toUnixNano"`
	Lines        []UsageLine `json:"lines"`
	Fencing
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

// EngineStatus is what an engine says of itself.
type EngineStatus struct {
	Endpoint       string   `json:"endpoint"`
	Role           string   `json:"role"`
	Changing       bool     `json:"changing"`
	Models         []string `json:"models"`
	HonoursFencing bool     `json:"honoursFencing"`
	LastOrder      string   `json:"lastOrder"`
}

// EngineLoad is an engine's load report; it lags.
type EngineLoad struct {
	AtUnixNano    int64  `json:"atUnixNano"`
	Running       uint32 `json:"running"`
	Queued        uint32 `json:"queued"`
	PrefillTokens uint64 `json:"prefillTokens"`
	DecodeTokens  uint64 `json:"decodeTokens"`
}

// Answer is the answer to an order.
type Answer struct {
	State string `json:"state"`
	VM    string `json:"vm"`
	Error string `json:"error"`
	// Status is the HTTP status.
	Status int `json:"-"`
}

// States and errors of an Answer.
const (
	AnswerDone       = "done"
	AnswerRunning    = "running"
	AnswerAccepted   = "accepted"
	AnswerFailed     = "failed"
	AnswerFenced     = "fenced"
	AnswerOutOfStock = "outOfStock"
)

// VMs reads the platform's list.
func VMs(ctx context.Context, c *http.Client, address string) (List, error) {
	var l List
	return l, get(ctx, c, address, "/v1/vms", &l)
}

// Status reads an engine's status.
func Status(ctx context.Context, c *http.Client, address string) (EngineStatus, error) {
	var s EngineStatus
	return s, get(ctx, c, address, "/v1/status", &s)
}

// Load reads an engine's load report.
func Load(ctx context.Context, c *http.Client, address string) (EngineLoad, error) {
	var l EngineLoad
	return l, get(ctx, c, address, "/v1/load", &l)
}

// OrderEndpoint sends an endpoint order to the platform.
func OrderEndpoint(ctx context.Context, c *http.Client, address string, o EndpointOrder) (Answer, error) {
	return post(ctx, c, address, "/v1/endpointOrders", o)
}

// OrderEngine sends an order to an engine.
func OrderEngine(ctx context.Context, c *http.Client, address string, o EngineOrder) (Answer, error) {
	return post(ctx, c, address, "/v1/orders", o)
}

// ReportUsage sends a billing window's figures to the platform.
func ReportUsage(ctx context.Context, c *http.Client, address string, r UsageReport) (Answer, error) {
	return post(ctx, c, address, "/v1/usageReports", r)
}

func get(ctx context.Context, c *http.Client, address, path string, into any) error {
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
	return decode(res.Body, into)
}

func decode(r io.Reader, into any) error {
	err := json.NewDecoder(io.LimitReader(r, maxAnswerBytes)).Decode(into)
	if err != nil {
		return sqerror.New(sqerror.Config{Kind: sqerror.BadResponse, Cause: err})
	}
	return nil
}

func post(ctx context.Context, c *http.Client, address, path string, body any) (Answer, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return Answer{}, sqerror.New(sqerror.Config{Kind: sqerror.BadRequest, Cause: err})
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return Answer{}, unreachable(err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.Do(req)
	if err != nil {
		return Answer{}, unreachable(err)
	}
	defer res.Body.Close()
	a := Answer{Status: res.StatusCode}
	if err := decode(res.Body, &a); err != nil && res.StatusCode != http.StatusOK {
		return a, err
	}
	return a, nil
}

func unreachable(err error) error {
	if sqerror.KindOf(err) != sqerror.None {
		return err
	}
	return sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Cause: err})
}
