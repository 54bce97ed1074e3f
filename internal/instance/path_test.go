package instance

import (
	"context"
	"testing"
)

// A clerk writes through one instance and reads through another. The second
// session carries no token, so the read takes a barrier; a replica that has the
// write answers it.
func TestWriteThroughOneReadThroughAnother(t *testing.T) {
	inBed(t, func(b *bed) {
		ctx := context.Background()
		writer := b.mustConnect(0, "")
		_, err := writer.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		b.is.NoErr(err)
		b.is.True(token(writer) != "")
		reader := b.mustConnect(1, "")
		var v string
		err = reader.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1 /*request='application'*/", "a").Scan(&v)
		b.is.NoErr(err)
		b.is.Equal(v, "1")
		writer.Close(ctx)
		reader.Close(ctx)
	})
}
