package sqengine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqanswer"
	"sequoiadock/standin/sqfailure"
	"sequoiadock/standin/sqfault"
	"sequoiadock/standin/sqserver"
)

// fetchTimeout limits a transfer between engines or from the weight store.
const fetchTimeout = 2 * time.Minute

// kvExport is the wire form of a request whose KV cache one engine transfers to
// another. The data is simulated: Bytes determines the duration only.
type kvExport struct {
	RequestID string `json:"requestId"`
	Model     string `json:"model"`
	Text      string `json:"text"`
	MaxTokens int    `json:"maxTokens"`
	Priority  int    `json:"priority"`
	Position  int    `json:"position"`
	Bytes     int64  `json:"bytes"`
}

type kvExportResponse struct {
	Handle   string `json:"handle"`
	Position int    `json:"position"`
	Bytes    int64  `json:"bytes"`
}

type kvRequest struct {
	RequestID   string `json:"requestId"`
	Handle      string `json:"handle"`
	FromAddress string `json:"fromAddress"`
}

func (e *Engine) handleKVExport(c echo.Context) error {
	var req kvRequest
	if err := sqserver.Decode(c, &req); err != nil {
		return err
	}
	if done, err := e.injectInKVTransfer(c, sqfault.OnKVExport); done {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sessions[req.RequestID]
	if !ok || s.prefillLeft > 0 || s.position == 0 || e.changingRole {
		return c.JSON(http.StatusNotFound, errorResponse{Error: "unknownRequest"})
	}
	export := kvExport{
		RequestID: s.id, Model: s.model, Text: s.promptText, MaxTokens: s.maxTokens, Priority: s.priority, Position: s.position,
		Bytes: int64(s.promptTokens+s.position) * e.cfg.Limits.KVBytesPerToken,
	}
	handle := e.cfg.Name + "-" + strconv.Itoa(len(e.exports)+1)
	e.exports[handle] = export
	return c.JSON(http.StatusOK, kvExportResponse{Handle: handle, Position: export.Position, Bytes: export.Bytes})
}

// handleKVData sends an export to another engine, at the rate of KVBytesPerSecond.
func (e *Engine) handleKVData(c echo.Context) error {
	e.mu.Lock()
	export, ok := e.exports[c.QueryParam("handle")]
	e.mu.Unlock()
	if !ok {
		return c.JSON(http.StatusNotFound, errorResponse{Error: "unknownHandle"})
	}
	seconds := float64(export.Bytes) / e.cfg.TimeModel.KVBytesPerSecond
	select {
	case <-time.After(e.cfg.scaled(time.Duration(seconds * float64(time.Second)))):
	case <-c.Request().Context().Done():
	}
	return c.JSON(http.StatusOK, export)
}

func (e *Engine) handleKVImport(c echo.Context) error {
	var req kvRequest
	if err := sqserver.Decode(c, &req); err != nil {
		return err
	}
	if done, err := e.injectInKVTransfer(c, sqfault.OnKVImport); done {
		return err
	}
	e.mu.Lock()
	changing := e.changingRole
	e.mu.Unlock()
	if changing {
		return c.JSON(http.StatusServiceUnavailable, errorResponse{Error: "notStarted"})
	}
	export, err := fetchKVExport(c.Request().Context(), req)
	if err != nil {
		return c.JSON(http.StatusNotFound, errorResponse{Error: err.Error()})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changingRole {
		return c.JSON(http.StatusServiceUnavailable, errorResponse{Error: "notStarted"})
	}
	e.addImportedSession(export)
	return c.JSON(http.StatusOK, kvExportResponse{Handle: req.Handle, Position: export.Position, Bytes: export.Bytes})
}

// addImportedSession adds a session for an imported request, which a client can
// resume; the lock is held.
func (e *Engine) addImportedSession(export kvExport) {
	if old, ok := e.sessions[export.RequestID]; ok {
		e.endSession(old, endedReplaced)
	}
	s := newSession(export.RequestID, export.Model, export.Text, export.MaxTokens, export.Priority)
	s.admitted = true
	s.position = export.Position
	s.cachedTokens = s.promptTokens
	s.endCause = endedPrefilled
	if s.position >= s.answer.Len() {
		s.endCause = endedComplete
	}
	e.sessions[s.id] = s
	e.cache.store(s.model, s.blocks, time.Now())
	e.removeAfterRetention(s)
}

func newSession(id, model, promptText string, maxTokens, priority int) *session {
	blocks, words := sqanswer.PrefixBlocks(promptText)
	return &session{
		id: id, model: model, promptText: promptText, maxTokens: maxTokens, priority: priority,
		answer: sqanswer.New(model, promptText, maxTokens), blocks: blocks, promptTokens: words,
		changed: make(chan struct{}),
	}
}

func fetchKVExport(ctx context.Context, r kvRequest) (kvExport, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	address := "http://" + r.FromAddress + "/v1/kv/data?handle=" + url.QueryEscape(r.Handle)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return kvExport{}, sqfailure.New(sqfailure.Config{Action: "import", Cause: err})
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return kvExport{}, sqfailure.New(sqfailure.Config{Action: "import", Cause: err})
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return kvExport{}, sqfailure.New(sqfailure.Config{Action: "import", Detail: res.Status})
	}
	var export kvExport
	if err := json.NewDecoder(res.Body).Decode(&export); err != nil {
		return kvExport{}, sqfailure.New(sqfailure.Config{Action: "import", Cause: err})
	}
	return export, nil
}

// fetchWeights reads a model from the weight store and discards the bytes.
func fetchWeights(store, modelVersion string, stopped <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	go func() {
		select {
		case <-stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	name, version := splitModel(modelVersion)
	address := "http://" + store + "/v1/weights/" + url.PathEscape(name) + "/" + url.PathEscape(version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return sqfailure.New(sqfailure.Config{Action: "load model", Cause: err})
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return sqfailure.New(sqfailure.Config{Action: "load model", Cause: err})
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return sqfailure.New(sqfailure.Config{Action: "load model", Detail: res.Status})
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return sqfailure.New(sqfailure.Config{Action: "load model", Cause: err})
	}
	return nil
}
