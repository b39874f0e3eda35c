// Package certificate loads TLS certificates from files and reloads replaced
// files without a restart.
//
// # Usage
//
//	reloader, err := certificate.Load(ctx, "node.pem", "node.key", "authorities.pem")
//	listener = tls.NewListener(listener, reloader.ServerConfig()) // for callers
//	options.TLS = reloader.MutualConfig()                         // between nodes
//
// The files are read every few seconds. If replaced files are invalid, or the
// certificate has been replaced and its key not yet, an error is logged to the
// default logger and the previous certificate stays in use until a later read
// succeeds. A reload affects new connections only. An expired certificate is
// loaded too; the other end refuses it.
package certificate

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// reloadInterval is the time between two reads of the files. It bounds how long a
// replaced certificate stays in use for new connections.
const reloadInterval = 5 * time.Second

type (
	// Reloader holds a certificate with its key, and the authorities whose
	// certificates are accepted from peers. It reloads them from their files.
	// It is safe for concurrent use.
	Reloader struct {
		certificateFile, keyFile, authoritiesFile string
		current                                   atomic.Pointer[contents]
	}

	// contents holds the contents of the files from one read.
	contents struct {
		data        [3][]byte // of the certificate, the key and the authorities
		certificate tls.Certificate
		authorities *x509.CertPool
	}
)

// Load loads the files, and reloads them whenever they change until ctx ends.
// If authoritiesFile is empty, connections with MutualConfig fail.
func Load(ctx context.Context, certificateFile, keyFile, authoritiesFile string) (reloader *Reloader, err error) {
	reloader = &Reloader{certificateFile: certificateFile, keyFile: keyFile, authoritiesFile: authoritiesFile}
	if err = reloader.Reload(); err != nil {
		return nil, err
	}
	go func() {
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				if err := reloader.Reload(); err != nil {
					slog.Error("cannot reload certificate", "File", certificateFile, "Error", err)
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return reloader, nil
}

// Reload reads the files, and uses their contents if any of them has changed. It
// compares contents, because tools that copy files may preserve their
// modification times. Load calls it periodically; others needn't.
func (r *Reloader) Reload() (err error) {
	defer errors.DeferredAnnotatef(&err, "load certificate %s", r.certificateFile)
	next := &contents{}
	for i, file := range []string{r.certificateFile, r.keyFile, r.authoritiesFile} {
		if file == "" {
			continue
		}
		if next.data[i], err = os.ReadFile(file); err != nil {
			return err
		}
	}
	if current := r.current.Load(); current != nil && current.equal(next) {
		return nil
	}
	if next.certificate, err = tls.X509KeyPair(next.data[0], next.data[1]); err != nil {
		return err
	}
	if r.authoritiesFile != "" {
		next.authorities = x509.NewCertPool()
		if !next.authorities.AppendCertsFromPEM(next.data[2]) {
			return errors.Errorf("%s contains no PEM certificate", r.authoritiesFile)
		}
	}
	r.current.Store(next)
	return nil
}

func (c *contents) equal(other *contents) bool {
	for i := range c.data {
		if !bytes.Equal(c.data[i], other.data[i]) {
			return false
		}
	}
	return true
}

// ServerConfig returns the configuration of a listener whose clients need no
// certificate.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: r.getCertificate}
}

// MutualConfig returns the configuration of both ends of connections between
// nodes. Each end accepts any certificate issued by the authorities, whatever its
// key usage, since a node presents the same one as client and as server. Nodes are
// identified by IP address and replaced often, so there is no host name to
// compare.
func (r *Reloader) MutualConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAnyClientCert,
		GetCertificate: r.getCertificate,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (certificate *tls.Certificate, err error) {
			return &r.current.Load().certificate, nil
		},
		// VerifyConnection replaces the default verification, which would not use
		// reloaded authorities and would compare host names.
		InsecureSkipVerify: true,
		VerifyConnection:   r.verifyPeer,
	}
}

func (r *Reloader) getCertificate(*tls.ClientHelloInfo) (certificate *tls.Certificate, err error) {
	return &r.current.Load().certificate, nil
}

func (r *Reloader) verifyPeer(state tls.ConnectionState) (err error) {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	options := x509.VerifyOptions{
		Roots: r.current.Load().authorities, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	if options.Roots == nil {
		return errors.New("no authorities are configured to verify peers")
	}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err = state.PeerCertificates[0].Verify(options)
	return err
}
