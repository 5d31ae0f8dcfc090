// Package keys reads keys and certificates from files and reads them again when
// they change, so that they can be rotated without a restart.
package keys

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// checkInterval is the least time between looks at the files.
const checkInterval = 5 * time.Second

// Certificate is a certificate and key in PEM files. It is safe for concurrent use.
type Certificate struct {
	certificateFile, keyFile string

	mutex     sync.Mutex
	loaded    *tls.Certificate
	changed   time.Time
	checkedAt time.Time
}

// LoadCertificate reads the files. The error is of kind InvalidSettings.
func LoadCertificate(certificateFile, keyFile string) (*Certificate, error) {
	c := &Certificate{certificateFile: certificateFile, keyFile: keyFile}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Certificate) load() error {
	loaded, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return errkind.New(errkind.InvalidSettings, "certificate %s: %v", c.certificateFile, err)
	}
	c.loaded = &loaded
	c.changed = c.lastChange()
	return nil
}

func (c *Certificate) lastChange() time.Time {
	latest := time.Time{}
	for _, name := range []string{c.certificateFile, c.keyFile} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// Current returns the certificate, read again if its files changed. If the new
// files do not parse, such as when half written, the last good one stays.
func (c *Certificate) Current() *tls.Certificate {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if time.Since(c.checkedAt) >= checkInterval {
		c.checkedAt = time.Now()
		if !c.lastChange().Equal(c.changed) {
			_ = c.load() // tried again at the next look
		}
	}
	return c.loaded
}

// ServerConfig returns a configuration for listeners. With a pool of
// authorities, clients must show a certificate of one of them.
func (c *Certificate) ServerConfig(clients *x509.CertPool) *tls.Config {
	config := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.Current(), nil },
	}
	if clients != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = clients
	}
	return config
}

// MutualConfig returns a configuration for both sides of connections between
// nodes that all have certificates of the authorities.
func (c *Certificate) MutualConfig(authorities *x509.CertPool) *tls.Config {
	config := c.ServerConfig(authorities)
	config.RootCAs = authorities
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.Current(), nil }
	return config
}

// LoadAuthorities reads certificates of authorities from a PEM file. The error
// is of kind InvalidSettings.
func LoadAuthorities(file string) (*x509.CertPool, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, errkind.New(errkind.InvalidSettings, "authorities: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, errkind.New(errkind.InvalidSettings, "authorities: %s holds no certificate in PEM form", file)
	}
	return pool, nil
}

// LoadSecrets reads secret keys, one a line, the newest first. The error is of
// kind InvalidSettings.
func LoadSecrets(file string) ([][]byte, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, errkind.New(errkind.InvalidSettings, "keys: %v", err)
	}
	var secrets [][]byte
	for _, line := range bytes.Split(content, []byte("\n")) {
		if line = bytes.TrimSpace(line); len(line) > 0 {
			secrets = append(secrets, line)
		}
	}
	if len(secrets) == 0 {
		return nil, errkind.New(errkind.InvalidSettings, "keys: %s is empty", file)
	}
	return secrets, nil
}
