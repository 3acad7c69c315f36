package failover

import (
	"context"
	"time"

	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

const (
	// viewAge after which a view of another VM is asked for again.
	viewAge     = time.Second
	viewTimeout = 500 * time.Millisecond
)

// cachedView is a view that another VM gave.
type cachedView struct {
	view routing.DatabaseView
	at   time.Time
}

// FetchView returns a new view of a database: this VM's own, or one from a VM
// that watches the database. Its refusals are proof of not run.
func (p *Manager) FetchView(ctx context.Context, database string) (routing.DatabaseView, error) {
	if d, ok := p.find(database); ok {
		return d.view(), nil
	}
	snapshot := p.config.Configuration.Current()
	if snapshot == nil {
		return routing.DatabaseView{}, refusal.NewNotRun(refusal.NotReady, "there is no configuration yet")
	}
	declared, ok := snapshot.Database(database)
	if !ok {
		return routing.DatabaseView{}, refusal.NewNotRun(refusal.InvalidRequest, "the database is not declared")
	}
	for _, vm := range claimants(snapshot, declared, p.config.Directory.Live()) {
		address, ok := p.config.Directory.Address(vm)
		if !ok {
			continue
		}
		view, err := p.fetchFrom(ctx, func(ctx context.Context) (*peerv1.DatabaseView, error) {
			return p.config.Dial(address).GetDatabaseView(ctx, &peerv1.GetDatabaseViewRequest{Database: database})
		})
		if err == nil {
			p.NoteView(view)
			return view, nil
		}
	}
	return routing.DatabaseView{}, refusal.NewNotRun(refusal.Unreachable, "no VM that watches the database answers")
}

// NoteView takes a view that came with a response of another VM.
func (p *Manager) NoteView(view routing.DatabaseView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held, ok := p.views[view.Database]
	if ok && held.view.Term > view.Term {
		return
	}
	p.views[view.Database] = &cachedView{
		view: view,
		at:   p.config.Timer.Now(),
	}
}

// View returns what this VM knows of a database. For a database that it does not
// watch, it returns the last view of another VM and asks for a new one if that is
// old.
func (p *Manager) View(database string) (routing.DatabaseView, bool) {
	if d, ok := p.find(database); ok {
		return d.view(), true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Timer.Now()
	held, ok := p.views[database]
	if !ok || now.Sub(held.at) > viewAge {
		p.refresh(database)
	}
	if !ok {
		return routing.DatabaseView{}, false
	}
	view := held.view
	view.Members = nil
	for _, m := range held.view.Members {
		m.Age += now.Sub(held.at)
		view.Members = append(view.Members, m)
	}
	return view, true
}

func (p *Manager) fetchFrom(ctx context.Context, call func(context.Context) (*peerv1.DatabaseView, error)) (routing.DatabaseView, error) {
	ctx, cancel := timer.WithTimeout(ctx, p.config.Timer, viewTimeout)
	defer cancel()
	message, err := call(ctx)
	if err != nil {
		return routing.DatabaseView{}, err
	}
	return peer.DecodeView(message), nil
}

// refresh fetches a view in the background, once at a time. The caller holds the
// lock.
func (p *Manager) refresh(database string) {
	ctx := p.background
	if ctx == nil || ctx.Err() != nil || p.fetching[database] {
		return
	}
	p.fetching[database] = true
	p.tasks.Go(func() {
		if _, err := p.FetchView(ctx, database); err != nil {
			p.config.Logger.V(1).Info("failover: no view", "database", database, "cause", err.Error())
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.fetching, database)
	})
}
