package sqentry

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqroute"
	"sequoiadock/core/sqstream"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqendpoint"
)

// Limits on the attempts to produce one response.
const (
	// maxStreams bounds the engine streams of one response.
	maxStreams = 12
	// maxResumesPerEngine bounds how often a response is resumed at one engine
	// after a stream from it was cut or garbled.
	maxResumesPerEngine = 2
	// minFirstTokenTimeout and minBetweenTimeout are the shortest silences,
	// before the first token and between tokens, after which an engine is
	// considered dead.
	minFirstTokenTimeout = 5 * time.Second
	minBetweenTimeout    = 2 * time.Second
	minSilenceLimit      = 100 * time.Millisecond
	// silenceFactor is how many times the expected time an engine may stay
	// silent.
	silenceFactor = 4
	// silenceDivisor limits a silence to this fraction of the time left until
	// the deadline, so that another engine can still produce the response.
	silenceDivisor = 3
)

// finishPrefilled is the finish reason sent by an engine that only prefills.
const finishPrefilled = "prefilled"

// Reasons to switch streams; only errEngineSilent is a failure.
var (
	errEngineLeaving = sqerror.New(sqerror.Config{Kind: sqerror.NoEndpoint, Detail: "the engine leaves"})
	errPrefilled     = sqerror.New(sqerror.Config{Kind: sqerror.NoEndpoint, Detail: "the engine has prefilled"})
	errEngineSilent  = sqerror.New(sqerror.Config{Kind: sqerror.EndpointFailed, Detail: "the engine answers no polls", Execution: sqerror.MayHaveRun})
)

// responseRelay produces one chat response from as many engine streams as it
// takes.
type responseRelay struct {
	e        *entry
	request  *request
	key      usageKey
	caller   *caller
	chat     sqendpoint.ChatRequest
	query    sqroute.QueryConfig
	writer   responseWriter
	response *sqstream.Response
	ticket   *admissionTicket

	streamCount    int
	resumeCounts   map[string]int
	lost           lostConnections
	mayHaveStarted bool
	// kvImported is true while the current stream uses a KV cache imported from
	// another engine.
	kvImported   bool
	outputTokens int
	usage        sqendpoint.Usage
	firstTokenAt time.Time
	lastTokenAt  time.Time

	mu           sync.Mutex
	endpoint     string
	cancelStream context.CancelCauseFunc
	// nextMoveAt is the earliest time of the next move after one failed for
	// want of another engine.
	nextMoveAt  time.Time
	lastEventAt time.Time
}

// streamPlan describes one stream to request from an engine.
type streamPlan struct {
	endpoint  string
	requestID string
	// attempt matches the events of the generation that the stream belongs to.
	attempt *sqstream.Attempt
	// resume is true when the engine continues a generation that it already
	// knows.
	resume bool
	// kvImported is true when the engine imported the KV cache from another
	// engine.
	kvImported         bool
	cachedTokens       int
	expectedFirstToken time.Duration
	// decodeEngine is the engine planned to take over after the first token.
	decodeEngine string
}

// run produces the whole response or returns why it failed.
func (r *responseRelay) run(ctx context.Context) error {
	r.resumeCounts = map[string]int{}
	r.e.setWriteDeadline(r.request, r.request.deadline.Sub(sqclock.Now())+r.e.cfg.Timings.ConnectTimeout)
	next, err := r.planNewStream()
	for err == nil {
		r.streamCount++
		err = r.relayStream(ctx, &next)
		if err == nil {
			return r.writer.finish(r.totalUsage())
		}
		next, err = r.nextStream(ctx, &next, err)
	}
	return err
}

// planNewStream routes a generation that starts from the prompt at the best
// engine.
func (r *responseRelay) planNewStream() (streamPlan, error) {
	choice, why := r.e.fleet.route(sqclock.Now(), r.query)
	r.request.note(why...)
	if !choice.OK() {
		return streamPlan{}, r.noEngineError()
	}
	id := r.request.id
	if r.streamCount > 0 {
		// A separate request ID keeps late events of an earlier attempt from
		// being taken for events of this one.
		id += "-" + strconv.Itoa(r.streamCount+1)
	}
	return streamPlan{
		endpoint: choice.Endpoint(), requestID: id, attempt: sqstream.NewAttempt(r.response, id), cachedTokens: choice.CachedTokens(),
		expectedFirstToken: choice.FirstTokenLatency(), decodeEngine: choice.DecodeEndpoint(),
	}, nil
}

func (r *responseRelay) noEngineError() *sqerror.Error {
	run := sqerror.NotRun
	if r.mayHaveStarted {
		run = sqerror.MayHaveRun
	}
	return sqerror.New(sqerror.Config{
		Kind: sqerror.NoEndpoint, Detail: "no other open engine has the model", Execution: run,
		RetryAfter: retryAfter(sqerror.NoEndpoint),
	})
}

// totalUsage returns the token usage of the whole response.
func (r *responseRelay) totalUsage() sqendpoint.Usage {
	u := r.usage
	if u.PromptTokens == 0 {
		u.PromptTokens = int64(r.query.PromptTokens)
	}
	u.CompletionTokens = int64(r.outputTokens)
	return u
}

// recordUsage adds the response's tokens to the team's usage. Requests that
// never reached an engine don't count.
func (r *responseRelay) recordUsage() {
	if !r.mayHaveStarted {
		return
	}
	u := r.totalUsage()
	r.e.usage.add(r.key.team, r.key.service, r.key.model, u.PromptTokens, u.CompletionTokens)
}

// isEndpointFault reports whether err is the endpoint's fault.
func isEndpointFault(err error) bool {
	if err == nil || errors.Is(err, errEngineLeaving) || errors.Is(err, errPrefilled) {
		return false
	}
	k := sqerror.KindOf(err)
	return k == sqerror.EndpointFailed || k == sqerror.BadResponse
}

// setStream records the current engine and the function that cancels its
// stream, for interrupt.
func (r *responseRelay) setStream(endpoint string, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoint = endpoint
	r.cancelStream = cancel
	r.lastEventAt = sqclock.Now()
}

func (r *responseRelay) currentEndpoint() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoint
}

// interrupt cancels the current stream with a cause.
func (r *responseRelay) interrupt(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelStream != nil {
		r.cancelStream(cause)
	}
}
