package sqentry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"sequoiadock/core/sqadmit"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqprompt"
	"sequoiadock/core/sqroute"
	"sequoiadock/core/sqstream"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqendpoint"
)

// Limits on the fields of a chat request.
const (
	maxOutputTokens = 1 << 20
	maxMessages     = 10000
	maxPriority     = 1000
)

// chatRequest holds the fields of a chat-completions request that the entry
// uses. Other fields are ignored and not passed on.
type chatRequest struct {
	Model     string               `json:"model"`
	Messages  []sqendpoint.Message `json:"messages"`
	MaxTokens int                  `json:"max_tokens"`
	Stream    bool                 `json:"stream"`
	Priority  int                  `json:"priority"`
}

func parseChat(body []byte) (*chatRequest, error) {
	var b chatRequest
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, badRequest("the body is not a chat-completions request in JSON")
	}
	switch {
	case len(b.Messages) == 0 || len(b.Messages) > maxMessages:
		return nil, badRequest("messages must have 1 to 10000 elements")
	case b.MaxTokens < 0 || b.MaxTokens > maxOutputTokens:
		return nil, badRequest("max_tokens must be between 0 and 1048576")
	case b.Priority < -maxPriority || b.Priority > maxPriority:
		return nil, badRequest("priority must be between -1000 and 1000")
	}
	return &b, nil
}

// chat serves a chat-completions request.
func (e *entry) chat(r *request) (sloResult, error) {
	if err := e.refuseIfStopping(); err != nil {
		return sloIgnored, err
	}
	// The service is known only from the body, but the key must be checked
	// before any of the body is read.
	if err := e.checkKeyBeforeBody(r); err != nil {
		return sloIgnored, err
	}
	data, err := r.readBody()
	if err != nil {
		return sloIgnored, err
	}
	body, err := parseChat(data)
	if err != nil {
		return sloIgnored, err
	}
	if r.svc, err = e.assistantFor(body, r.req.Header); err != nil {
		return sloIgnored, err
	}
	if err := r.authorize(); err != nil {
		return sloIgnored, err
	}
	if err := r.setDeadline(); err != nil {
		return sloIgnored, err
	}
	return e.respond(r, body)
}

// checkKeyBeforeBody rejects a request without a granted key, unless an
// assistant is open to all.
func (e *entry) checkKeyBeforeBody(r *request) error {
	r.caller = &caller{open: true}
	for _, services := range e.routes.Load().assistants {
		for _, s := range services {
			if s.conf.GetOpen() {
				return nil
			}
		}
	}
	key, err := bearerKey(r.req.Header)
	if err != nil {
		return err
	}
	keyCheck := &request{e: e, c: r.c, req: r.req, svc: keyRequiredService}
	if err := keyCheck.authorize(); err != nil {
		return err
	}
	r.caller = &caller{team: keyCheck.caller.team, key: key, keyHash: keyCheck.caller.keyHash}
	return nil
}

var keyRequiredService = newService(nil)

// assistantFor returns the assistant that serves the model. If several do, the
// service header must name one.
func (e *entry) assistantFor(body *chatRequest, h http.Header) (*service, error) {
	rt := e.routes.Load()
	name, _, _ := strings.Cut(body.Model, "@")
	services := rt.assistants[name]
	if wanted := h.Get(headerService); wanted != "" {
		for _, s := range services {
			if s.conf.GetName() == wanted {
				return s, nil
			}
		}
		return nil, notRunError(sqerror.UnknownRoute, "no such assistant has the model")
	}
	switch len(services) {
	case 0:
		return nil, notRunError(sqerror.UnknownRoute, "no assistant has the model")
	case 1:
		return services[0], nil
	}
	return nil, badRequest("several assistants have this model: name one in " + headerService)
}

// respond admits the request and relays the response.
func (e *entry) respond(r *request, body *chatRequest) (sloResult, error) {
	e.retries.addRequest()
	relay := newResponseRelay(e, r, body)
	now := sqclock.Now()
	choice := e.fleet.estimate(now, relay.query)
	if !choice.OK() {
		return sloIgnored, notRunError(sqerror.NoEndpoint, "no open engine has the model")
	}
	ctx, cancel := r.context()
	defer cancel()
	demand := e.demand.add(relay.key.model, relay.query.PromptTokens-choice.CachedTokens(), relay.query.OutputTokens, relay.query.SpotAllowed)
	defer demand.finish()
	ticket, err := r.admit(ctx, sqadmit.RequestConfig{
		Pool: poolName("", relay.key.model), Priority: body.Priority, PromptTokens: relay.query.PromptTokens,
		CachedTokens: choice.CachedTokens(), OutputTokens: relay.query.OutputTokens, StartBy: relay.latestStart(choice),
		ExpectedDuration: choice.TotalLatency(),
	})
	if err != nil {
		return sloIgnored, err
	}
	ticket.demand = demand
	relay.ticket = ticket
	e.active.add(relay)
	defer func() {
		e.active.remove(relay)
		e.admission.finish(sqclock.Now(), ticket, relay.query.PromptTokens, relay.outputTokens)
		relay.recordUsage()
	}()
	if err := relay.run(ctx); err != nil {
		return sloIgnored, relay.reportFailure(err)
	}
	return relay.sloResult(), nil
}

// latestStart returns the latest start time at which the first token can still
// arrive within the service's limit, or the zero time without a limit.
func (r *responseRelay) latestStart(choice sqroute.Choice) time.Time {
	limit := r.request.svc.firstTokenLimit()
	if limit == 0 {
		return time.Time{}
	}
	return r.request.arrived.Add(limit - choice.FirstTokenLatency())
}

func newResponseRelay(e *entry, r *request, body *chatRequest) *responseRelay {
	model, _, _ := strings.Cut(body.Model, "@")
	key := usageKey{r.team(), r.svc.conf.GetName(), model}
	messages := make([]sqprompt.Message, len(body.Messages))
	for i, m := range body.Messages {
		messages[i] = sqprompt.NewMessage(m.Role, m.Content)
	}
	blocks, promptTokens := sqprompt.HashBlocks(messages)
	for i, block := range blocks {
		blocks[i] = sqprompt.ModelBlockHash(model, block)
	}
	relay := &responseRelay{
		e: e, request: r, key: key, caller: r.caller, response: sqstream.NewResponse(),
		chat: sqendpoint.ChatRequest{
			Model: body.Model, Messages: body.Messages, MaxTokens: body.MaxTokens, Stream: true,
			// A caller may lower its priority at the engines but not raise it:
			// engines don't know teams.
			Priority: min(0, body.Priority),
		},
		query: sqroute.QueryConfig{
			Model: body.Model, Blocks: blocks, PromptTokens: promptTokens,
			OutputTokens: e.responseLengths.expected(key, body.MaxTokens), SpotAllowed: r.svc.conf.GetCheapAllowed(),
			Deadline: r.deadline, FirstTokenObjective: r.svc.firstTokenLimit(), InterTokenObjective: r.svc.betweenTokensLimit(),
		},
	}
	if body.Stream {
		relay.writer = newStreamWriter(r.c, r.id, body.Model)
	} else {
		relay.writer = newBufferedWriter(r.c, r.id, body.Model, r.memory)
	}
	return relay
}

// sloResult reports whether the response met the service's latency limits.
func (r *responseRelay) sloResult() sloResult {
	svc := r.request.svc
	first := r.firstTokenAt.Sub(r.request.arrived)
	if limit := svc.firstTokenLimit(); limit > 0 && first > limit {
		return sloLate
	}
	between := time.Duration(0)
	if r.outputTokens > 1 {
		between = r.lastTokenAt.Sub(r.firstTokenAt) / time.Duration(r.outputTokens-1)
	}
	if limit := svc.betweenTokensLimit(); limit > 0 && between > limit {
		return sloLate
	}
	return sloGood
}
