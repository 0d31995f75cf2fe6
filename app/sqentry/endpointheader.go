package sqentry

import (
	"net/http"
	"net/url"
	"path"
	"strings"
)

// droppedHeaders never go to an endpoint: headers that carry keys, hop-by-hop
// headers, and headers that override the method and so could bypass the list of
// once-only calls.
var droppedHeaders = map[string]bool{
	"Authorization": true, "Proxy-Authorization": true, "X-Api-Key": true, "Api-Key": true, "Cookie": true,
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
	"X-Http-Method": true, "X-Http-Method-Override": true, "X-Method-Override": true,
	headerService: true, headerDeadline: true, "Sequoiadock-Request-Id": true, "Accept-Encoding": true,
}

// keyQueryParams are query parameters that may carry keys.
var keyQueryParams = []string{"key", "api_key", "apikey", "apiKey", "access_token"}

// endpointHeader returns the headers to forward to a plain service.
func endpointHeader(in http.Header, id, key string) http.Header {
	out := make(http.Header, len(in)+1)
	connectionOnly := connectionHeaders(in)
	for name, values := range in {
		if droppedHeaders[name] || connectionOnly[name] {
			continue
		}
		for _, v := range values {
			if key == "" || !strings.Contains(v, key) {
				out.Add(name, v)
			}
		}
	}
	out.Set("Sequoiadock-Request-Id", id)
	return out
}

// connectionHeaders returns the headers that the Connection header lists as
// hop-by-hop.
func connectionHeaders(h http.Header) map[string]bool {
	named := map[string]bool{}
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			// A caller must not be able to remove the idempotency key from a
			// once-only call by listing it here.
			if name != headerIdentity {
				named[name] = true
			}
		}
	}
	return named
}

// endpointPath returns the path and query to forward to a plain service. It
// returns false if the path is not in its canonical form, because another
// spelling could bypass the list of once-only calls.
func endpointPath(u *url.URL, key string) (string, bool) {
	clean := path.Clean(u.Path)
	if u.Path != clean && u.Path != clean+"/" {
		return "", false
	}
	escaped := u.EscapedPath()
	lower := strings.ToLower(escaped)
	if strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.ContainsRune(u.Path, '\\') {
		return "", false
	}
	if key != "" && strings.Contains(u.Path, key) {
		return "", false
	}
	if u.RawQuery == "" {
		return escaped, true
	}
	query, err := url.ParseQuery(u.RawQuery)
	if err != nil {
		return "", false
	}
	for _, name := range keyQueryParams {
		query.Del(name)
	}
	removeKeyParams(query, key)
	if len(query) == 0 {
		return escaped, true
	}
	return escaped + "?" + query.Encode(), true
}

// removeKeyParams removes parameters that contain the caller's key in their
// name or value.
func removeKeyParams(query url.Values, key string) {
	if key == "" {
		return
	}
	for name, values := range query {
		for _, v := range values {
			if strings.Contains(v, key) || strings.Contains(name, key) {
				query.Del(name)
			}
		}
	}
}

// copyResponseHeader copies the headers of a service's response, except
// hop-by-hop headers and those that the entry sets.
func copyResponseHeader(out, in http.Header) {
	for name, values := range in {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Content-Length", headerDecision:
			continue
		}
		out[name] = values
	}
}
