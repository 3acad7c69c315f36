package gossip

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/membership"
	"amaranthdock.dev/proxy/platform"
	"amaranthdock.dev/timer"
)

// checkLoop asks the store again and again, while this VM is a watcher, whether
// the configuration is still the newest one.
func (p *Service) checkLoop(ctx context.Context) error {
	for {
		if err := timer.Sleep(ctx, p.config.Timer, checkInterval); err != nil {
			return err
		}
		if p.watching() {
			p.watchOnce(ctx, 0)
		}
	}
}

// listLoop reads the platform's list while this VM is a watcher.
func (p *Service) listLoop(ctx context.Context) error {
	for {
		p.mu.Lock()
		interval := max(listInterval, time.Duration(p.table.Size())*listIntervalPerVM)
		p.mu.Unlock()
		if err := timer.Sleep(ctx, p.config.Timer, interval); err != nil {
			return err
		}
		if !p.watching() {
			continue
		}
		if err := p.readList(ctx); err != nil {
			p.config.Logger.V(1).Info("gossip: platform list not merged", "error", err.Error())
		}
	}
}

// watchLoop waits for changes of the configuration while this VM is a watcher.
func (p *Service) watchLoop(ctx context.Context) error {
	for {
		pause := retryInterval
		if p.watching() {
			began := p.config.Timer.Now()
			if p.watchOnce(ctx, watchWait) {
				pause = max(minWatchInterval-p.since(began), 0)
			}
		}
		if err := timer.Sleep(ctx, p.config.Timer, pause); err != nil {
			return err
		}
	}
}

// readList merges the platform's list.
func (p *Service) readList(ctx context.Context) error {
	vms, err := p.config.Store.ListVMs(ctx)
	if err != nil {
		return err
	}
	list := make([]membership.PlatformVM, 0, len(vms))
	for _, v := range vms {
		list = append(list, membership.PlatformVM{
			VM:         v.Name,
			DataCentre: v.DataCentre,
			Address:    v.PeerAddress,
			Leaving:    v.Leaving,
		})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.table.MergePlatformList(p.config.Timer.Now(), list); err != nil {
		return err
	}
	p.listRead = true
	p.refresh()
	return nil
}

// readStore reads the configuration from the store.
func (p *Service) readStore(ctx context.Context) error {
	sent := p.config.Timer.Now()
	entry, err := p.config.Store.Get(ctx, ConfigurationKey)
	if err != nil {
		p.storeFailed(sent)
		return err
	}
	return p.takeEntry(sent, entry)
}

func (p *Service) storeFailed(sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions.RecordStoreFailure(sent)
}

// takeEntry handles an entry that the store has returned for a call sent at the
// given time.
func (p *Service) takeEntry(sent time.Time, entry platform.Entry) error {
	seen := stored{
		revision: entry.Revision,
	}
	if entry.Found {
		version, accepted, err := p.accept(entry.Value, "the store")
		if err != nil {
			return err
		}
		seen.version = version
		if accepted {
			defer p.push()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if seen.revision > p.stored.revision {
		p.stored = seen
	}
	if !p.versions.RecordStoreSuccess(sent, seen.version) {
		return eris.Errorf("gossip: the store returned version %d, lower than one heard of", seen.version)
	}
	return nil
}

// watchOnce calls the store's watch and returns whether it gave a usable answer.
func (p *Service) watchOnce(ctx context.Context, wait time.Duration) bool {
	p.mu.Lock()
	seen := p.stored
	p.mu.Unlock()
	sent := p.config.Timer.Now()
	entry, changed, err := p.config.Store.Watch(ctx, ConfigurationKey, seen.revision, wait)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		p.storeFailed(sent)
		p.config.Logger.V(1).Info("gossip: watch failed", "error", err.Error())
		return false
	}
	if changed {
		if err := p.takeEntry(sent, entry); err != nil {
			p.config.Logger.Error(err, "gossip: entry of the store ignored", "revision", entry.Revision)
			return false
		}
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.versions.RecordStoreSuccess(sent, seen.version)
}

func (p *Service) watching() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.versions.IsWatcher()
}
