package sqcoordinator

import (
	"context"
	"sync"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqstate"
	"sequoiadock/core/sqtransfer"
	"sequoiadock/io/sqrpc"
)

// tableStore holds the versions of the routing table that gateways fetch. It is safe for
// concurrent use.
type tableStore struct {
	mu    sync.Mutex
	store sqtransfer.Store
}

// piece returns the piece that a gateway asks for. The version and the document are those
// of the newest table.
func (s *tableStore) piece(version uint64, document []byte, req *sqrpc.TableRequest) (sqtransfer.Piece, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Put(version, document)
	p, ok := s.store.Piece(req.GetVersion(), int(req.GetOffset()), int(req.GetMaxBytes()))
	if !ok {
		return sqtransfer.Piece{}, sqerror.New(sqerror.Config{Kind: sqerror.NotHolder, Detail: "this process does not have the version yet"})
	}
	return p, nil
}

// Table implements sqrpc.Coordinator. It needs no lease, since the content of a committed
// version never changes, and gateways hear from heartbeats which version is in force.
func (c *coordinator) Table(_ context.Context, req *sqrpc.TableRequest) (*sqrpc.TablePiece, error) {
	var version uint64
	var document []byte
	c.stateMachine.Read(func(s *sqstate.State) { version, document = s.RoutingTable() })
	p, err := c.tables.piece(version, document, req)
	if err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	return &sqrpc.TablePiece{Version: p.Version, Offset: uint64(p.Offset), TotalBytes: uint64(p.Total), Data: p.Data}, nil
}
