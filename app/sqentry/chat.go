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

// Bounds of a chat request.
const (
	maxOutputTokens = 1 << 20
	maxMessages     = 10000
	maxPriority     = 1000
)

// chatBody is what callers send. Other fields of the usual shape are ignored:
// they are not passed on.
type chatBody struct {
	Model     string               `json:"model"`
	Messages  []sqendpoint.Message `json:"messages"`
	MaxTokens int                  `json:"max_tokens"`
	Stream    bool                 `json:"stream"`
	Priority  int                  `json:"priority"`
}

func parseChat(body []byte) (*chatBody, error) {
	var b chatBody
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

// chat answers an assistant's request.
func (e *entry) chat(r *request) (grade, error) {
	if err := e.refuseLeaving(); err != nil {
		return gradeNone, err
	}
	// The service is known only with the body; the key is checked before a
	// byte of it is read.
	if err := e.checkAnyKey(r); err != nil {
		return gradeNone, err
	}
	body, err := r.body()
	if err != nil {
		return gradeNone, err
	}
	b, err := parseChat(body)
	if err != nil {
		return gradeNone, err
	}
	if r.svc, err = e.assistantFor(b, r.req.Header); err != nil {
		return gradeNone, err
	}
	if err := r.authorise(); err != nil {
		return gradeNone, err
	}
	if err := r.setDeadline(); err != nil {
		return gradeNone, err
	}
	return e.answer(r, b)
}

// checkAnyKey refuses a request without a granted key, unless some assistant is
// open to all.
func (e *entry) checkAnyKey(r *request) error {
	r.caller = &caller{open: true}
	for _, services := range e.routes.Load().assistants {
		for _, s := range services {
			if s.conf.GetOpen() {
				return nil
			}
		}
	}
	key, err := presentedKey(r.req.Header)
	if err != nil {
		return err
	}
	keyed := &request{e: e, c: r.c, req: r.req, svc: keyedService}
	if err := keyed.authorise(); err != nil {
		return err
	}
	r.caller = &caller{team: keyed.caller.team, key: key, hash: keyed.caller.hash}
	return nil
}

var keyedService = newService(nil)

// assistantFor finds the service by model, and by name when several have it.
func (e *entry) assistantFor(b *chatBody, h http.Header) (*service, error) {
	rt := e.routes.Load()
	name, _, _ := strings.Cut(b.Model, "@")
	services := rt.assistants[name]
	if wanted := h.Get(headerService); wanted != "" {
		for _, s := range services {
			if s.conf.GetName() == wanted {
				return s, nil
			}
		}
		return nil, notRun(sqerror.UnknownRoute, "no such assistant has the model")
	}
	switch len(services) {
	case 0:
		return nil, notRun(sqerror.UnknownRoute, "no assistant has the model")
	case 1:
		return services[0], nil
	}
	return nil, badRequest("several assistants have this model: name one in " + headerService)
}

// answer admits the request and gives its answer.
func (e *entry) answer(r *request, b *chatBody) (grade, error) {
	e.retries.earn()
	run := newAnswerRun(e, r, b)
	now := sqclock.Now()
	choice := e.fleet.estimate(now, run.query)
	if !choice.OK() {
		return gradeNone, notRun(sqerror.NoEndpoint, "no open engine has the model")
	}
	ctx, cancel := r.context()
	defer cancel()
	work := e.work.begin(run.key.model, run.query.PromptTokens-choice.CachedTokens(), run.query.OutputTokens, run.query.CheapAllowed)
	defer work.end()
	ad, err := r.admit(ctx, sqadmit.RequestConfig{
		Pool: poolName("", run.key.model), Priority: b.Priority, PromptTokens: run.query.PromptTokens,
		CachedTokens: choice.CachedTokens(), OutputTokens: run.query.OutputTokens, StartBy: run.startBy(choice),
		PredictedDuration: choice.Total(),
	})
	if err != nil {
		return gradeNone, err
	}
	ad.work = work
	run.admitted = ad
	e.running.add(run)
	defer func() {
		e.running.remove(run)
		e.admission.finish(sqclock.Now(), ad, run.query.PromptTokens, run.tokens)
		run.book()
	}()
	if err := run.run(ctx); err != nil {
		return gradeNone, run.failed(err)
	}
	return run.grade(), nil
}

// startBy returns the last start at which the first token is still in time, or
// the zero time.
func (r *answerRun) startBy(choice sqroute.Choice) time.Time {
	limit := r.request.svc.firstToken()
	if limit == 0 {
		return time.Time{}
	}
	return r.request.arrived.Add(limit - choice.FirstToken())
}

func newAnswerRun(e *entry, r *request, b *chatBody) *answerRun {
	name, _, _ := strings.Cut(b.Model, "@")
	key := usageKey{r.team(), r.svc.conf.GetName(), name}
	messages := make([]sqprompt.Message, len(b.Messages))
	for i, m := range b.Messages {
		messages[i] = sqprompt.NewMessage(m.Role, m.Content)
	}
	pieces, words := sqprompt.HashBlocks(messages)
	for i, p := range pieces {
		pieces[i] = sqprompt.ModelBlockHash(name, p)
	}
	run := &answerRun{
		e: e, request: r, key: key, caller: r.caller, answer: sqstream.NewAnswer(),
		chat: sqendpoint.ChatRequest{
			Model: b.Model, Messages: b.Messages, MaxTokens: b.MaxTokens, Stream: true,
			// A caller may stand back at the engines but not push others aside:
			// engines know no teams.
			Priority: min(0, b.Priority),
		},
		query: sqroute.QueryConfig{
			Model: b.Model, Blocks: pieces, PromptTokens: words,
			OutputTokens: e.lengths.expect(key, b.MaxTokens), CheapAllowed: r.svc.conf.GetCheapAllowed(),
			Deadline: r.deadline, FirstToken: r.svc.firstToken(), BetweenTokens: r.svc.betweenTokens(),
		},
	}
	if b.Stream {
		run.sink = newStreamSink(r.c, r.id, b.Model)
	} else {
		run.sink = newWholeSink(r.c, r.id, b.Model, r.answer)
	}
	return run
}

// grade says whether the answer kept the service level.
func (r *answerRun) grade() grade {
	svc := r.request.svc
	first := r.firstAt.Sub(r.request.arrived)
	if limit := svc.firstToken(); limit > 0 && first > limit {
		return gradeLate
	}
	between := time.Duration(0)
	if r.tokens > 1 {
		between = r.lastAt.Sub(r.firstAt) / time.Duration(r.tokens-1)
	}
	if limit := svc.betweenTokens(); limit > 0 && between > limit {
		return gradeLate
	}
	return gradeGood
}
