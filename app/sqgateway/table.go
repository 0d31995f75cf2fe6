package sqgateway

import (
	"context"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqtable"
	"sequoiadock/core/sqtransfer"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqrpc"
)

const (
	// pieceRetryInterval is the time to the next request after a piece of the table did
	// not arrive.
	pieceRetryInterval = 50 * time.Millisecond
	// unreadableTableInterval is the time until a table that cannot be used is fetched again.
	unreadableTableInterval = 1 * time.Second
)

// awaitedTable is a version that is in force at the lease holder and not yet here.
type awaitedTable struct {
	version uint64
	// knownAt is when the gateway first heard of it.
	knownAt time.Time
}

// awaitTable makes fetchTables fetch the version, unless it is 0. It replaces a version
// that was awaited before. Only the loop of heartbeats calls it.
func (g *gateway) awaitTable(now time.Time, version uint64) {
	if version == 0 {
		return
	}
	a := awaitedTable{version: version, knownAt: now}
	select {
	case old := <-g.awaitedTables:
		if !g.holdsTable(old.version) {
			a.knownAt = old.knownAt
		}
	default:
	}
	g.awaitedTables <- a
}

// fetchTables fetches each version of the routing table that heartbeats name and puts it
// in force, until ctx ends. It is separate from the heartbeats, so that they do not depend
// on the size of the table.
func (g *gateway) fetchTables(ctx context.Context) {
	var d sqtransfer.Download
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-g.awaitedTables:
			if !g.holdsTable(a.version) {
				g.fetchTable(ctx, &d, a)
			}
		}
	}
}

// holdsTable reports whether the version or a newer one is in force.
func (g *gateway) holdsTable(version uint64) bool {
	t := g.view.Load().table
	return t != nil && t.Version() >= version
}

// fetchTable fetches the pieces of a version, or of a newer one if the coordinator no
// longer has it, and puts it in force. It tries until it succeeds or ctx ends.
func (g *gateway) fetchTable(ctx context.Context, d *sqtransfer.Download, a awaitedTable) {
	startedAt, failures := sqclock.Now(), 0
	for {
		complete, err := g.fetchPiece(ctx, d, a.version)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			failures++
			sqclock.Sleep(ctx, pieceRetryInterval)
		case complete:
			encodedBytes, fetchedAt := d.Received(), sqclock.Now()
			table, documentBytes, err := g.decodeTable(d)
			if err != nil {
				g.log.Event(sqevent.TableUnreadable, a.version, err.Error())
				sqclock.Sleep(ctx, unreadableTableInterval)
				return
			}
			g.useTable(table)
			now := sqclock.Now()
			g.metrics.tableSeconds.Update(now.Sub(a.knownAt).Seconds())
			g.log.Event(sqevent.TableInForce, table.Version(), documentBytes, encodedBytes, now.Sub(a.knownAt).Milliseconds(),
				fetchedAt.Sub(startedAt).Milliseconds(), now.Sub(fetchedAt).Milliseconds(), failures)
			return
		}
	}
}

// fetchPiece fetches the next piece and reports whether the version is complete.
func (g *gateway) fetchPiece(ctx context.Context, d *sqtransfer.Download, wanted uint64) (complete bool, err error) {
	next := d.Next(wanted)
	address := g.locator.Holder()
	ctx, transfer := sqhttp.WithTransfer(ctx)
	client := sqrpc.NewCoordinatorProtobufClient("http://"+address, g.coordinatorClient)
	res, err := client.Table(ctx, &sqrpc.TableRequest{Version: next.Version, Offset: uint64(next.Offset), MaxBytes: uint32(next.Size)})
	if err == nil {
		complete, err = d.Add(sqtransfer.Piece{Version: res.GetVersion(), Offset: int(res.GetOffset()), Total: int(res.GetTotalBytes()), Data: res.GetData()})
	} else {
		err = sqrpc.FromTwirp(err)
	}
	if err == nil || ctx.Err() != nil {
		return complete, err
	}
	if sqerror.KindOf(err) == sqerror.Unreachable {
		d.Failed()
	}
	g.log.Event(sqevent.TablePieceFailed, next.Version, next.Offset, next.Size, address, transfer.Elapsed(sqclock.Now()).Milliseconds(),
		transfer.FirstByte().Milliseconds(), transfer.Bytes(), err.Error())
	return false, err
}

// decodeTable returns the table of a complete download and the length of its document.
func (g *gateway) decodeTable(d *sqtransfer.Download) (t *sqtable.Table, documentBytes int, err error) {
	document, err := d.Document()
	if err != nil {
		return nil, 0, err
	}
	t, err = g.cfg.Wire.ParseTable(document)
	return t, len(document), err
}

// useTable puts a table in force, unless one as new is.
func (g *gateway) useTable(t *sqtable.Table) {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	if g.holdsTable(t.Version()) {
		return
	}
	g.mu.Lock()
	g.placer.SetServices(t.Services())
	g.mu.Unlock()
	g.quotas.setTable(t)
	g.freshness.Hold(t.Version())
	v := *g.view.Load()
	v.table, v.freshUntil, v.outdated = t, g.freshness.Until(), false
	g.storeView(&v)
}
