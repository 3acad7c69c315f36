package settings

import (
	"crypto/tls"
	"fmt"
	"path/filepath"

	"amaranthdock.dev/settings/strictyaml"
)

// Loaded is the settings with the content of the files that they name. The TLS
// fields are nil for plain text. Only the settings appear in logs and dumps.
type Loaded struct {
	Settings *Settings `json:"settings"`
	// SessionKeys authenticate session tokens; the first one signs.
	SessionKeys []Secret    `json:"-"`
	CallerTLS   *tls.Config `json:"-"`
	OperatorTLS *tls.Config `json:"-"`
	// PeerServerTLS and PeerClientTLS are mutual.
	PeerServerTLS *tls.Config `json:"-"`
	PeerClientTLS *tls.Config `json:"-"`
}

// Dump returns the settings, which name files and hold no secret.
func (l *Loaded) Dump() any { return l.Settings }

// Format writes the settings only, because a TLS configuration holds the
// certificate's private key.
func (l Loaded) Format(state fmt.State, _ rune) {
	_, _ = fmt.Fprintf(state, "%+v", l.Settings)
}

type loader struct {
	directory string
	positions *strictyaml.Positions
	faults    strictyaml.Errors
}

func (l *loader) load(settings *Settings) *Loaded {
	loaded := &Loaded{Settings: settings}
	keys, err := ReadSessionKeys(l.resolve(settings.SessionKeyFile))
	l.add("sessionKeyFile", err)
	loaded.SessionKeys = keys
	if files := l.resolveTLS(settings.CallerTLS); files != nil {
		loaded.CallerTLS, err = files.Server()
		l.add("callerTls", err)
	}
	if files := l.resolveTLS(settings.OperatorTLS); files != nil {
		loaded.OperatorTLS, err = files.Server()
		l.add("operatorTls", err)
	}
	if files := l.resolveTLS(settings.PeerTLS); files != nil {
		loaded.PeerServerTLS, err = files.Server()
		l.add("peerTls", err)
		if err == nil {
			loaded.PeerClientTLS, err = files.Client()
			l.add("peerTls", err)
		}
	}
	return loaded
}

func (l *loader) add(field string, err error) {
	if err != nil {
		l.faults = append(l.faults, l.positions.ErrorAt(field, err.Error()))
	}
}

func (l *loader) resolve(file string) string {
	if file == "" || filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(l.directory, file)
}

func (l *loader) resolveTLS(files *TLSFiles) *TLSFiles {
	if files == nil {
		return nil
	}
	return &TLSFiles{
		CertificateFile: l.resolve(files.CertificateFile),
		KeyFile:         l.resolve(files.KeyFile),
		CAFile:          l.resolve(files.CAFile),
	}
}
