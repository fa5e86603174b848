#include "state/wal_internal.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#define IDENTITY_MAGIC 0x49574843u /* "CHWI" */
#define VOTE_MAGIC 0x56574843u     /* "CHWV" */
#define SNAPSHOT_MAGIC 0x4e574843u /* "CHWN" */
#define NUMBER_BYTES sizeof(uint64_t)

static int
create_file(int folder, const char *name)
{
	return openat(folder, name,
	    O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
}

static int
rename_file(int folder, const char *from, const char *to)
{
	return renameat(folder, from, folder, to);
}

wal_ops_t wal_ops = {
    .create = create_file,
    .rename = rename_file,
    .write = write,
    .sync = fdatasync,
    .sync_folder = fsync,
};

/* Makes names created, renamed or removed in the folder durable. */
int
wal_sync_folder(wal_t *wal, err_t *err)
{
	if (wal_ops.sync_folder(wal->folder_fd) < 0)
		return err_set(err, -errno, "sync folder", NULL, "%s: %s",
		    wal->folder, strerror(errno));
	return 0;
}

/* Writes all of data; name is the file's name in error messages. */
int
wal_write_all(
    int fd, const void *data, size_t len, const char *name, err_t *err)
{
	const uint8_t *at = data;

	while (len > 0) {
		ssize_t n = wal_ops.write(fd, at, len);

		if (n < 0 && errno == EINTR)
			continue;
		if (n == 0)
			errno = EIO;
		if (n <= 0)
			return err_set(err, -errno, "write", NULL, "%s: %s",
			    name, strerror(errno));
		at += n;
		len -= (size_t)n;
	}
	return 0;
}

/*
 * Replaces the content of a file by head and data.  A crash leaves either the
 * old or the new content: the data goes to a temporary file, which is synced
 * and renamed before the folder is synced.
 */
int
wal_replace_file(wal_t *wal, const char *name, const GByteArray *head,
    const uint8_t *data, size_t len, err_t *err)
{
	char temporary[64];
	int code;
	int fd;

	snprintf(temporary, sizeof(temporary), "%s.tmp", name);
	fd = wal_ops.create(wal->folder_fd, temporary);
	if (fd < 0)
		return err_set(err, -errno, "create", NULL, "%s/%s: %s",
		    wal->folder, temporary, strerror(errno));
	code = wal_write_all(fd, head->data, head->len, temporary, err);
	if (code == 0)
		code = wal_write_all(fd, data, len, temporary, err);
	if (code == 0 && wal_ops.sync(fd) < 0)
		code = err_set(err, -errno, "sync", NULL, "%s/%s: %s",
		    wal->folder, temporary, strerror(errno));
	if (close(fd) < 0 && code == 0)
		code = err_set(err, -errno, "close", NULL, "%s/%s: %s",
		    wal->folder, temporary, strerror(errno));
	if (code < 0) {
		unlinkat(wal->folder_fd, temporary, 0);
		return code;
	}
	if (wal_ops.rename(wal->folder_fd, temporary, name) < 0)
		return err_set(err, -errno, "rename", NULL, "%s/%s: %s",
		    wal->folder, name, strerror(errno));
	return wal_sync_folder(wal, err);
}

static void
put_u64(GByteArray *out, uint64_t value)
{
	uint64_t little = GUINT64_TO_LE(value);

	g_byte_array_append(out, (const guint8 *)&little, sizeof(little));
}

static uint64_t
get_u64(const uint8_t *data, size_t position)
{
	uint64_t little;

	memcpy(&little, data + position * NUMBER_BYTES, sizeof(little));
	return GUINT64_FROM_LE(little);
}

/* Reads a whole file; the caller frees *data with g_free. */
static int
read_file(wal_t *wal, const char *name, char **data, gsize *len, err_t *err)
{
	char *path = g_build_filename(wal->folder, name, NULL);
	GError *error = NULL;
	int code = 0;

	if (access(path, F_OK) < 0) {
		code = -errno;
		err_set(
		    err, code, "open", NULL, "%s: %s", path, strerror(-code));
	} else if (!g_file_get_contents(path, data, len, &error)) {
		code = err_set(err, -EIO, "read", NULL, "%s", error->message);
		g_error_free(error);
	}
	g_free(path);
	return code;
}

static int
corrupt_file(wal_t *wal, const char *name, const char *what, err_t *err)
{
	return err_set(
	    err, -EBADMSG, "read", NULL, "%s/%s: %s", wal->folder, name, what);
}

/* Reads the identity file; -ENOENT when there is none. */
int
wal_read_identity(wal_t *wal, err_t *err)
{
	char *data = NULL;
	gsize len = 0;
	int code = read_file(wal, "identity", &data, &len, err);

	if (code < 0)
		return code;
	if (len != 3 * NUMBER_BYTES ||
	    get_u64((uint8_t *)data, 0) != IDENTITY_MAGIC ||
	    get_u64((uint8_t *)data, 2) != XXH64(data, 2 * NUMBER_BYTES, 0))
		code = corrupt_file(wal, "identity", "checksum mismatch", err);
	else
		wal->disk_id = get_u64((uint8_t *)data, 1);
	g_free(data);
	return code;
}

/* Gives the folder a new random identity. */
int
wal_write_identity(wal_t *wal, err_t *err)
{
	GByteArray *out = g_byte_array_new();
	int code;

	do {
		if (getrandom(&wal->disk_id, sizeof(wal->disk_id), 0) !=
		    sizeof(wal->disk_id)) {
			g_byte_array_unref(out);
			return err_set(err, -EIO, "random", NULL,
			    "no random disk id: %s", strerror(errno));
		}
	} while (wal->disk_id == 0);
	put_u64(out, IDENTITY_MAGIC);
	put_u64(out, wal->disk_id);
	put_u64(out, XXH64(out->data, out->len, 0));
	code = wal_replace_file(wal, "identity", out, NULL, 0, err);
	g_byte_array_unref(out);
	return code;
}

/* Reads the vote file; -ENOENT when there is none. */
int
wal_read_vote(wal_t *wal, err_t *err)
{
	char *data = NULL;
	gsize len = 0;
	gsize body;
	int code = read_file(wal, "vote", &data, &len, err);

	if (code < 0)
		return code;
	body = 4 * NUMBER_BYTES + sizeof(wal->vote.vote);
	if (len != body + NUMBER_BYTES ||
	    get_u64((uint8_t *)data, 0) != VOTE_MAGIC ||
	    get_u64((uint8_t *)data + body, 0) != XXH64(data, body, 0)) {
		code = corrupt_file(wal, "vote", "checksum mismatch", err);
	} else {
		wal->vote.term = get_u64((uint8_t *)data, 1);
		wal->vote.newest_segment = get_u64((uint8_t *)data, 2);
		wal->vote.synced_index = get_u64((uint8_t *)data, 3);
		memcpy(wal->vote.vote, data + 4 * NUMBER_BYTES,
		    sizeof(wal->vote.vote));
		wal->vote.vote[NAME_MAX_LEN] = '\0';
	}
	g_free(data);
	return code;
}

/* Writes the vote file from wal->vote; wal_repair tries again. */
int
wal_write_vote(wal_t *wal, err_t *err)
{
	GByteArray *out = g_byte_array_new();
	int code;

	wal->vote_differs = true;
	put_u64(out, VOTE_MAGIC);
	put_u64(out, wal->vote.term);
	put_u64(out, wal->vote.newest_segment);
	put_u64(out, wal->vote.synced_index);
	g_byte_array_append(
	    out, (const guint8 *)wal->vote.vote, sizeof(wal->vote.vote));
	put_u64(out, XXH64(out->data, out->len, 0));
	code = wal_replace_file(wal, "vote", out, NULL, 0, err);
	wal->vote_differs = code < 0;
	g_byte_array_unref(out);
	return code;
}

static uint64_t
snapshot_sum(
    const uint8_t *head, size_t head_len, const uint8_t *data, size_t len)
{
	return XXH64(data, len, XXH64(head, head_len, 0));
}

static bool
decode_members(const uint8_t *data, size_t len, raft_members_t *members)
{
	XDR xdr;
	bool ok;

	xdrmem_create(&xdr, (char *)data, (u_int)len, XDR_DECODE);
	ok = xdr_raft_members_t(&xdr, members);
	xdr_destroy(&xdr);
	return ok;
}

/*
 * Reads the snapshot; *index is 0 when there is none.  members and data may be
 * NULL; the caller frees members with xdr_free.
 */
int
wal_read_snapshot(wal_t *wal, uint64_t *index, uint64_t *term,
    raft_members_t *members, GByteArray *data, err_t *err)
{
	const size_t head = 6 * NUMBER_BYTES;
	const uint8_t *bytes;
	char *file = NULL;
	gsize len = 0;
	uint64_t members_len;
	int code = read_file(wal, "snapshot", &file, &len, err);

	*index = 0;
	*term = 0;
	if (members != NULL)
		memset(members, 0, sizeof(*members));
	if (code == -ENOENT)
		return 0;
	if (code < 0 || file == NULL)
		return code;
	bytes = (const uint8_t *)file;
	members_len = len >= head ? get_u64(bytes, 3) : 0;
	if (len < head || get_u64(bytes, 0) != SNAPSHOT_MAGIC ||
	    members_len > len - head ||
	    get_u64(bytes, 4) != len - head - members_len ||
	    get_u64(bytes, 5) !=
		snapshot_sum(bytes, 5 * NUMBER_BYTES, bytes + head, len - head))
		code = corrupt_file(wal, "snapshot", "checksum mismatch", err);
	else if (members != NULL &&
		 !decode_members(bytes + head, members_len, members))
		code =
		    corrupt_file(wal, "snapshot", "malformed membership", err);
	if (code == 0) {
		*index = get_u64(bytes, 1);
		*term = get_u64(bytes, 2);
		wal->snapshot_size = len;
		if (data != NULL)
			g_byte_array_append(data, bytes + head + members_len,
			    (guint)(len - head - members_len));
	}
	g_free(file);
	return code;
}

/* Replaces the snapshot file. */
int
wal_write_snapshot(wal_t *wal, uint64_t index, uint64_t term,
    const raft_members_t *members, const uint8_t *data, size_t len, err_t *err)
{
	raft_members_t *value = (raft_members_t *)members;
	u_long size = xdr_sizeof((xdrproc_t)xdr_raft_members_t, value);
	GByteArray *body = g_byte_array_new();
	GByteArray *out = g_byte_array_new();
	XDR xdr;
	int code = 0;

	g_byte_array_set_size(body, (guint)size);
	xdrmem_create(&xdr, (char *)body->data, (u_int)size, XDR_ENCODE);
	if (!xdr_raft_members_t(&xdr, value))
		code = err_set(err, -EINVAL, "write", NULL,
		    "snapshot: membership cannot be encoded");
	xdr_destroy(&xdr);
	if (code == 0) {
		if (len > 0)
			g_byte_array_append(body, data, (guint)len);
		put_u64(out, SNAPSHOT_MAGIC);
		put_u64(out, index);
		put_u64(out, term);
		put_u64(out, size);
		put_u64(out, len);
		put_u64(out,
		    snapshot_sum(out->data, out->len, body->data, body->len));
		code = wal_replace_file(
		    wal, "snapshot", out, body->data, body->len, err);
	}
	if (code == 0)
		wal->snapshot_size = out->len + body->len;
	g_byte_array_unref(body);
	g_byte_array_unref(out);
	return code;
}
