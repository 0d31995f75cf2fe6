package sqcore

import (
	"go/ast"
	"slices"
	"testing"
)

// uncheckedClients are the parts of net/http that read responses without the checks of
// sqresponse.
var uncheckedClients = []string{"DefaultClient", "DefaultTransport", "Get", "Head", "Post", "PostForm", "ReadResponse", "Transport"}

// TestResponsesAreChecked fails if a package reads HTTP responses without the checks of
// io/sqresponse: packages use a client of sqhttp.NewClient, or wrap a transport in
// sqresponse.NewTransport. Only sqlink reads responses itself.
func TestResponsesAreChecked(t *testing.T) {
	var faults []string
	for _, s := range sources(t, "io", "platform", "app") {
		if isTest(s.path) {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.CallExpr:
				return !isSelector(n.Fun, "sqresponse", "NewTransport")
			case *ast.CompositeLit:
				if isSelector(n.Type, "http", "Client") && !hasField(n, "Transport") {
					faults = append(faults, s.path+" uses http.Client without a transport")
				}
			case *ast.SelectorExpr:
				if x, ok := n.X.(*ast.Ident); ok && x.Name == "http" && slices.Contains(uncheckedClients, n.Sel.Name) && !mayReadResponses(s.path) {
					faults = append(faults, s.path+" uses http."+n.Sel.Name)
				}
			}
			return true
		})
	}
	report(t, faults)
}

// mayReadResponses reports whether the file belongs to the check itself, or calls it for each
// response that it reads.
func mayReadResponses(path string) bool {
	return path == "../io/sqlink/conn.go" || path == "../io/sqresponse/transport.go"
}

func isSelector(e ast.Expr, pkg, name string) bool {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	x, ok := s.X.(*ast.Ident)
	return ok && x.Name == pkg && s.Sel.Name == name
}

func hasField(lit *ast.CompositeLit, name string) bool {
	return slices.ContainsFunc(lit.Elts, func(e ast.Expr) bool {
		kv, ok := e.(*ast.KeyValueExpr)
		if !ok {
			return false
		}
		key, ok := kv.Key.(*ast.Ident)
		return ok && key.Name == name
	})
}
