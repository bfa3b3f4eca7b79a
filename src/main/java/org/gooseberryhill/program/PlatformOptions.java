package org.gooseberryhill.program;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.external.EtcdKeyValueStore;
import org.gooseberryhill.external.StreamingKeyValueStore;
import org.gooseberryhill.http.HttpClient;
import org.gooseberryhill.link.Address;
import picocli.CommandLine.Option;

/** The options for the address of the key-value store, for operators' commands. Used by one thread. */
final class PlatformOptions {
    private static final int TIMEOUT_MILLIS = 3000;

    @Option(
            names = "--key-value-address",
            defaultValue = "${env:GOOSEBERRY_KEY_VALUE_ADDRESS:-}",
            description = "ip:port of the platform's key-value store")
    private String keyValueAddress;

    Connection connect() {
        SettingsReader reader = new SettingsReader();
        Address address = reader.address("--key-value-address", keyValueAddress);
        reader.requireNoFindings();
        return new Connection(address);
    }

    /** Clients of the key-value store and of endpoints, which a command closes when it ends. */
    static final class Connection implements Closeable {
        private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        private final HttpClient http = new HttpClient(group);
        private final StreamingKeyValueStore keyValue;

        Connection(Address address) {
            keyValue = new EtcdKeyValueStore(http, address, TIMEOUT_MILLIS);
        }

        StreamingKeyValueStore keyValue() {
            return keyValue;
        }

        HttpClient http() {
            return http;
        }

        @Override
        public void close() {
            http.close();
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }
}
