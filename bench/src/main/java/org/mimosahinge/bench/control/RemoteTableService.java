package org.mimosahinge.bench.control;

import java.util.concurrent.CompletionStage;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.mimosahinge.api.platform.ReadRequest;
import org.mimosahinge.api.platform.ReadResult;
import org.mimosahinge.api.platform.Row;
import org.mimosahinge.api.platform.TableService;
import org.mimosahinge.api.platform.Transaction;
import org.mimosahinge.api.platform.TransactionResult;
import org.mimosahinge.api.world.HostPort;

/** The table service as seen by a region without the store: replaces the gateway's address by a tunnel of the link. */
record RemoteTableService(TableService delegate, String storeGatewayKey, UnaryOperator<HostPort> tunnel)
        implements TableService {

    private static final Pattern ADDRESS = Pattern.compile("\"address\":\"([^\"]+)\"");

    @Override
    public CompletionStage<TransactionResult> commit(Transaction transaction) {
        return delegate.commit(transaction);
    }

    @Override
    public CompletionStage<ReadResult> read(ReadRequest request) {
        return delegate.read(request)
                .thenApply(result -> new ReadResult(
                        result.revision(),
                        result.rows().stream().map(this::translate).toList()));
    }

    private Row translate(Row row) {
        Matcher address = ADDRESS.matcher(row.value());
        if (!row.key().equals(storeGatewayKey) || !address.find()) {
            return row;
        }
        HostPort tunnelAddress = tunnel.apply(HostPort.parse(address.group(1)));
        return new Row(row.key(), row.revision(), address.replaceFirst("\"address\":\"" + tunnelAddress + "\""));
    }
}
